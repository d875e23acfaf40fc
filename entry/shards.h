/// Which shard a request asks first, and who holds a shard.
#pragma once

#include "entry/routing_view.h"

namespace stackquay {

/// The shard keys of a model's endpoints by preference for a prompt. @p spread decides for prompts
/// without a prefix block, and should differ from request to request.
std::vector<std::string> shardsForPrompt(const ModelRoute &route, const PrefixBlocks &prefix,
                                         uint64_t spread);

/// The VM that holds a shard; null if there is none.
const PeerRoute *shardHolder(const RoutingView &view, const std::string &shard);

} // namespace stackquay
