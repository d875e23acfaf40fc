#include "entry/request_chart.h"

#include "entry/completion_run.h"

namespace stackquay {

namespace {

RequestChart::Bindings bindings()
{
    RequestChart::Bindings bindings;
    bindings.states({
        { "placing", RequestState::Placing },
        { "prefilling", RequestState::Prefilling },
        { "sending", RequestState::Sending },
        { "streaming", RequestState::Streaming },
        { "resuming", RequestState::Resuming },
        { "backing_off", RequestState::BackingOff },
        { "complete", RequestState::Complete },
        { "failed", RequestState::Failed },
        { "refused", RequestState::Refused },
        { "abandoned", RequestState::Abandoned },
    });
    bindings.events({
        { "granted", RequestEvent::Granted },
        { "no_endpoint", RequestEvent::NoEndpoint },
        { "chunk_done", RequestEvent::ChunkDone },
        { "prefilled", RequestEvent::Prefilled },
        { "started", RequestEvent::Started },
        { "not_run", RequestEvent::NotRun },
        { "lost", RequestEvent::Lost },
        { "rejected", RequestEvent::Rejected },
        { "finished", RequestEvent::Finished },
        { "cut", RequestEvent::Cut },
        { "resumed", RequestEvent::Resumed },
        { "gone", RequestEvent::Gone },
        { "retry", RequestEvent::Retry },
        { "give_up", RequestEvent::GiveUp },
        { "deadline_passed", RequestEvent::DeadlinePassed },
        { "hung_up", RequestEvent::HungUp },
    });
    bindings.guard("needsChunks", [](const CompletionRun &run) { return run.needsChunks(); });
    bindings.guard("nothingRan", [](const CompletionRun &run) { return run.nothingRan(); });
    bindings.action("cancelAttempt", [](CompletionRun &run) { run.cancelAttempt(); });
    bindings.action("releaseGrant", [](CompletionRun &run) { run.releaseGrant(); });
    bindings.action("answerFailure", [](CompletionRun &run) { run.answerFailure(); });
    return bindings;
}

} // namespace

Result<RequestChart> loadRequestChart(const std::string &directory)
{
    return RequestChart::load(directory + "/request.scxml", bindings());
}

} // namespace stackquay
