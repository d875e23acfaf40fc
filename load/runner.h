/// Runs a load from several threads and gathers the records.
#pragma once

#include "load/options.h"
#include "load/record.h"

namespace stackquay {

struct LoadRun {
    std::vector<LoadRecord> m_records;
    Duration m_sending{ 0 }; ///< The time of arrivals.
    Duration m_elapsed{ 0 }; ///< Until the last answer, or the end of the drain time.
    uint64_t m_tokensWhileSending = 0;
    std::vector<std::string> m_problems; ///< Some failures, for people.
};

/// Runs to its end, which comes at the latest after the phases and the drain time. Blocks the
/// calling thread, which must not be a FiberThread.
Result<LoadRun> runLoad(const LoadOptions &options);

} // namespace stackquay
