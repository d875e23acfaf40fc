/// Signs of life of endpoints: the bytes that they sent to this VM, and the first events that other
/// VMs report.
///
/// One silent endpoint may have failed. Several that fall silent together have a common cause, such
/// as a pause of their host or a network partition, which says nothing about each of them.
#pragma once

#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/core.h"
#include "policy/endpoint_directory.h"
#include "policy/stream_ledger.h"

namespace stackquay {

struct EndpointActivity {
    std::unordered_map<EndpointId, TimePoint> m_aliveAt; ///< Last sign of life.
};

/// Records that @p endpoint sent something at @p now.
void noteAlive(EndpointActivity &activity, const EndpointId &endpoint, TimePoint now);
void forgetActivity(EndpointActivity &activity, const EndpointId &endpoint);

/// What the endpoints of a pool did since some moment. Of the others, nothing is known.
struct PoolActivity {
    std::unordered_set<EndpointId> m_alive; ///< Sent something.
    std::unordered_set<EndpointId> m_silent; ///< Owed an answer all the while, and sent nothing.
    size_t m_unused = 0; ///< Endpoints without any attempt, and without a sign of life.
};

/// The activity of @p pool since @p since. An attempt in @p loads is owed its first event from
/// twice its predicted prefill on. An attempt of the process @p origin, which is this VM's, is owed
/// events from its first one on, too.
PoolActivity poolActivity(const EndpointActivity &activity, const std::vector<EndpointRecord> &pool,
                          const AttemptLoads &loads, uint64_t origin, TimePoint since);

} // namespace stackquay
