/// Binds the state chart charts/request.scxml to CompletionRun.
#pragma once

#include "core/core.h"

namespace stackquay {

class CompletionRun;

enum class RequestState {
    Placing,
    Prefilling,
    Sending,
    Streaming,
    Resuming,
    BackingOff,
    Complete,
    Failed,
    Refused,
    Abandoned,
};

enum class RequestEvent {
    Granted,
    NoEndpoint,
    ChunkDone,
    Prefilled,
    Started,
    NotRun,
    Lost,
    Rejected,
    Finished,
    Cut,
    Resumed,
    Gone,
    Retry,
    GiveUp,
    DeadlinePassed,
    HungUp,
};

using RequestChart = Chart<CompletionRun, RequestState, RequestEvent>;
using RequestChartInstance = ChartInstance<CompletionRun, RequestState, RequestEvent>;

/// Loads request.scxml from @p directory. Fails if the file is invalid or does not match the
/// bindings.
Result<RequestChart> loadRequestChart(const std::string &directory);

} // namespace stackquay
