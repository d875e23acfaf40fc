/// Orders the shards that a request asks for a grant, and finds the VM that holds a shard.
#pragma once

#include "entry/routing_view.h"

namespace stackquay {

/// Shard keys of a model's endpoints, best first for the prompt. For prompts without a prefix block
/// the order depends on @p spread, which should be random for each request.
std::vector<std::string> shardsForPrompt(const ModelRoute &route, const PrefixBlocks &prefix,
                                         uint64_t spread);

/// The VM that holds a shard, by rendezvous hashing over the live VMs; null if there is no live VM.
const PeerRoute *shardHolder(const RoutingView &view, const std::string &shard);

} // namespace stackquay
