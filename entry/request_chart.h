/// Binds charts/request.scxml to the steps of a completion request.
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

/// Loads request.scxml from @p directory.
Result<RequestChart> loadRequestChart(const std::string &directory);

} // namespace stackquay
