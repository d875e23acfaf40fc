/// Who may begin to read a long prompt next, over all VMs.
///
/// Engines share their reading among all prompts that they have: two that begin together both end
/// late. So only a few long prompts read at once, and the others wait at their VMs. All VMs know
/// who waits, from the same messages as the ledger, and come to about the same order: the earliest
/// aim first, and those that can no longer meet theirs after all others. Waiting is bounded by the
/// deadline; a lost message lets one prompt more begin.
#pragma once

#include <unordered_map>

#include "core/core.h"
#include "policy/stream_ledger.h"

namespace stackquay {

struct WaitingRead {
    TimePoint m_aimAt{}; ///< When the first event is wanted.
    double m_readMs = 0; ///< Of all parts together.
    TimePoint m_expiresAt{};
};

struct ReadQueueSettings {
    /// Passes and others that read at once come on top of a prompt's own reading.
    double m_readFactor = 1.5;
    FloatMillis m_overhead{ 250 };
    /// Begins at any load if fewer than this read: the next one's parts fill the gap between the
    /// last part's end and the news of it.
    uint32_t m_leastReading = 4;
    /// More may begin while an engine of the side has less than this to read.
    FloatMillis m_backlog{ 220 };
};

struct ReadQueue {
    ReadQueueSettings m_settings;
    std::unordered_map<LoadKey, WaitingRead, LoadKeyHash> m_waiting;
};

/// Whether @p key, which waits in the queue, may begin now.
bool mayBegin(ReadQueue &queue, const LoadKey &key, const ReadingNow &reading, TimePoint now);

} // namespace stackquay
