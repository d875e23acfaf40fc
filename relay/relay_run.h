/// One relayed request, from its arrival to its outcome.
///
/// The client's method, path, body and headers are sent to an endpoint unchanged, and its response
/// is returned unchanged. A repeatable request is sent to another endpoint after a failure, within
/// the route's attempts, the fleet's retry budget and the deadline. The client is told "not run"
/// only if no attempt reached an endpoint, or if each endpoint reported that it did not run the
/// request.
#pragma once

#include <optional>
#include <unordered_set>

#include "relay/event_splitter.h"
#include "relay/memory_reservations.h"
#include "relay/relay_node.h"

namespace stackquay {

class RelayRun;

/// State of one attempt of a run.
struct Attempt {
    static constexpr const char *EndpointGone = "the endpoint has gone";

    size_t m_number = 0; ///< Place in RelayRun::m_sent, from one on; zero: not sent.
    LoadKey m_loadKey;
    const GangPlan *m_plan = nullptr; ///< Its placement.
    MemoryReservations *m_reservations = nullptr;
    HttpConnection *m_connection = nullptr; ///< Set while it is at its endpoint.
    TimePoint m_sentAt{}; ///< When the request was sent to its endpoint.
    TimePoint m_answeredAt{}; ///< First event; zero: none yet.
    Duration m_firstEventTimeout{}; ///< Until the first event, or the answer, is late.
    /// Set if it was abandoned, see RelayRun::abandonAttempt().
    std::optional<FailureWeight> m_abandoned;
    const char *m_abandonedReason = EndpointGone;
    bool m_silent = false; ///< Its endpoint is silent, and this was recorded.
    /// Ended by this side, because the client left or another attempt goes on: says nothing more
    /// about its endpoint.
    bool m_cancelled = false;

    bool holdsMemory() const { return m_reservations && !m_reservations->empty(); }
};

/// An attempt that was sent to an endpoint, or to another VM, and what is known of it.
struct SentAttempt {
    std::string m_target; ///< Id of the endpoint or VM.
    std::string m_address;
    uint16_t m_localPort = 0; ///< Of its connection.
    unsigned m_status = 0; ///< Of its response; zero: none.
    AttemptFacts m_facts;
};

/// An attempt whose response a run waits for.
struct PendingAttempt {
    RelayRun *m_run = nullptr;
    Attempt *m_attempt = nullptr; ///< Of m_run.

    /// The process that answers.
    const EndpointRecord &endpoint() const
    {
        return m_attempt->m_plan->m_members.front().m_endpoint;
    }
};

/// Who sent a request to this VM.
enum class RequestSource {
    Client,
    Vm, ///< Another VM that reaches no endpoint. Such a request is forwarded no further.
};

class RelayRun
{
public:
    RelayRun(RelayNode &node, HttpExchange &exchange, RequestSource source = RequestSource::Client);
    ~RelayRun();
    RelayRun(const RelayRun &) = delete;
    RelayRun &operator=(const RelayRun &) = delete;

    /// Answers the exchange. Blocks its fiber until the request has ended.
    void run();
    /// Cancels the attempt in progress at shutdown, so that run() answers with the current outcome.
    /// Call it after m_stopping is set, on the traffic thread.
    void abortForShutdown();
    const RequestId &id() const { return m_head.m_id; }
    bool isModelRequest() const;
    bool atMostOnce() const { return !m_route->repeatable(); }
    /// Those that wait for a response. Valid until the run's fiber runs.
    std::vector<PendingAttempt> pendingAttempts();
    /// Ends an attempt of pendingAttempts(), because its endpoint has gone. @p weight: the evidence
    /// against the endpoint. Call on the traffic thread.
    void abandonAttempt(Attempt &attempt, FailureWeight weight,
                        const char *why = Attempt::EndpointGone);
    /// Abandons the pending attempt if its answer has not begun and a part of its prompt is
    /// quarantined: its engine does not crash if it has not begun to write. On the traffic thread.
    void abandonIfQuarantined();
    /// Whether an answer to the request has begun on @p part and shows that the part is sound.
    bool hasAnswerOn(uint64_t part);

private:
    /// The result of one attempt.
    enum class AttemptResult {
        Answered, ///< The client received the whole response.
        NotSent, ///< Nothing reached the endpoint.
        NotRun, ///< The endpoint refused it without running it.
        Failed, ///< It may have run.
    };

    static constexpr const char *NoMemoryReason = "no memory for the answer";
    static constexpr const char *QuarantinedPart = "engines crash on a part of its prompt";
    static constexpr const char *EvacuatedReason = "its data centres are evacuated";
    static constexpr const char *LimitedReason = "the endpoints take no more requests now";
    /// Limit of placements for one request, whether sent or not.
    static constexpr uint32_t MaxPlacements = 6;
    /// Delay between placement attempts while no endpoint can take the request.
    static constexpr Millis PlacementRetryDelay{ 60 };

    bool admit();
    bool admitKey(bool fresh);
    /// Whether the request can finish before a draining daemon stops; else refuses it.
    bool admitWhileDraining();
    /// Whether the request may be sent, considering the process exits under it and under requests
    /// that share parts of its prompt. If not, sets m_failureReason and m_quarantineRetryAfter.
    bool maySend();
    bool maySendParts();
    PartDecision decideParts();
    void refuseSending(Duration retryAfter, std::string_view why);
    /// Hashes of the shared parts of the prompt; computed when they are first needed.
    const PromptParts &promptParts();
    /// Whether the answer of the attempt in progress began some time ago.
    bool hasSoundAnswer() const;
    void attemptUntilDone();
    /// What follows from one round of attemptUntilDone().
    enum class Round {
        Answered,
        Again, ///< Another attempt may follow.
        GiveUp, ///< The request cannot be placed.
    };
    Round attemptOnce();
    /// Whether another attempt may be made; takes it out of the retry budget if one was sent
    /// before.
    bool mayAttempt();
    RetryPurpose retryPurpose() const;
    /// Whether the rates that the endpoints name, or their wish for no requests, are what keeps the
    /// request from all of them.
    bool noteLimited();
    /// Whether all endpoints of the service want no requests until after @p latest.
    bool isBlockedBeyond(TimePoint latest) const;

    // relay_placement.cpp
    /// The requests in flight, and how the service's engines are divided.
    struct PoolState {
        EndpointUses m_uses;
        RelayViewPtr m_view;
        const std::vector<EndpointRecord> *m_all = nullptr; ///< In m_view; null: none.
        /// Those that neither name a rate nor want no requests; empty if none or all do.
        std::vector<EndpointRecord> m_unlimited;
        std::unordered_set<EndpointId> m_strictSide; ///< Empty for a plain service.
        std::unordered_set<EndpointId> m_answersStrict; ///< See answersStrict().

        /// The endpoints whose slots count as capacity. Null m_all: not to be called.
        const std::vector<EndpointRecord> &schedulable() const
        {
            return m_unlimited.empty() ? *m_all : m_unlimited;
        }
        /// The strict side, and the endpoints that name a rate: what little they take are short
        /// requests.
        const std::unordered_set<EndpointId> &answersStrict() const
        {
            return m_answersStrict.empty() ? m_strictSide : m_answersStrict;
        }
    };
    PoolState poolState() const;
    std::optional<GangPlan> choosePlan(DisruptionPolicy care, const PoolState &seen);
    /// Whether all endpoints of the service are in evacuated data centres.
    bool isEvacuated() const;
    uint32_t gapLimitMs() const { return static_cast<uint32_t>(m_route->m_gapLimit.count()); }
    /// Whether its stream is strict, see isStrictGap().
    bool isStrict() const { return isStrictGap(gapLimitMs()); }
    /// Since when the client has received nothing.
    TimePoint silentSince() const { return std::max(m_arrival, m_lastForwardedAt); }
    /// Tokens of an answer of @p expected tokens that the client has not received, within the
    /// request's limit.
    double answerTokensLeft(double expected) const;
    /// Blocks until this request may start, and returns its placement. Nothing if the request ends
    /// before, or, for a request that is never queued, if no endpoint can take it.
    std::optional<GangPlan> awaitTurn();
    /// The state of a request that waits for its turn.
    struct TurnWait {
        QueuedRequest m_queued;
        std::optional<Duration> m_turn; ///< Predicted time until its turn, at the last decision.
        Duration m_turnOnArrival{}; ///< The same at the first decision.
    };
    /// Checks whether the request may start now.
    DispatchDecision checkTurn(TurnWait &wait);
    /// Hash of the customer whose use of engines counts; zero: it does not.
    uint64_t usageCustomer() const;
    /// The request's entry in the queue.
    QueuedRequest queuedRequest() const;
    /// Takes the place that is kept for the request, if it came back when it was told to.
    void claimPlace();
    /// Decides when the caller of a request that cannot start in time comes back.
    void adviseReturn(const TurnWait &wait);
    ModelRequest modelRequest() const;
    /// The current load of the engines that serve this request's kind of stream.
    SideLoad sideLoad(const PoolState &seen) const;
    /// Number of schedulable endpoints of the service.
    size_t poolSize() const;
    /// The same endpoints, as expected times depend on them. For services with engines.
    PoolSize poolShape() const;
    /// Expected time from the start of an attempt to its end: on fully loaded engines, or as seen
    /// of a plain service. @p slack is the factor by which its parts may exceed that. If nothing is
    /// known yet, all the time that the request has.
    Duration timeToComplete(double slack) const;
    RequestDuration timeNeeded() const;
    /// Whether the request has not run, and an attempt that begins now cannot end before the
    /// draining daemon stops.
    bool cannotFinishInDrain() const;
    std::vector<EndpointRecord> candidates() const;
    /// The same among the endpoints of @p pool, preferring those without other suspects.
    std::optional<GangPlan> planAmong(const std::vector<EndpointRecord> &pool,
                                      DisruptionPolicy care, const PoolState &seen);
    /// A placement on endpoints of @p pool; nothing if none can take the request.
    std::optional<GangPlan> planWithin(const std::vector<EndpointRecord> &pool,
                                       DisruptionPolicy care, const PoolState &seen);
    void logPlacement(const GangPlan &plan) const;
    /// Logs why a request is refused that can no longer begin in time.
    void logTooLate(const TurnWait &wait) const;

    // relay_attempt.cpp
    AttemptResult attempt(const GangPlan &plan);
    AttemptResult attemptPlaced(const GangPlan &plan, MemoryReservations &reservations);
    /// Whether the request may be sent on the connection that was opened for it.
    bool mayStillSend();
    /// Records an attempt that is about to be sent. From here on it may run.
    void recordSentAttempt(const std::string &target, const Address &address,
                           const HttpConnection &connection);
    /// A connection to @p address on which any response to the request is one to the next attempt.
    /// A dead one is costly if @p holdsMemory: memory is reserved on endpoints meanwhile.
    Result<std::unique_ptr<HttpConnection>> connectTo(const Address &address, bool holdsMemory);
    /// Records the head of the response to the attempt in progress.
    void recordReply(const HttpResponse &response, EndpointReply reply, bool matches);
    /// The record of @p attempt, which was sent.
    SentAttempt &recordOf(const Attempt &attempt) { return m_sent[attempt.m_number - 1]; }
    /// How often the request may have run.
    uint32_t possibleRuns() const;
    /// The attempts that were sent, with what is known of each, for log lines.
    std::string describeAttempts() const;
    /// Counts the request at all endpoints of @p plan; false if one of them takes no more now.
    bool takeSendBudget(const GangPlan &plan);
    /// Whether a response with this status is passed on as a stream of events. A 204 has no body:
    /// the last chunk of a stream would follow its end.
    bool isStream(unsigned status) const;
    AttemptResult processResponse(HttpConnection &connection, const EndpointRecord &endpoint,
                                  bool reused);
    AttemptResult relayWholeResponse(HttpConnection &connection, const EndpointRecord &endpoint,
                                     const ResponseHead &head, HttpResponse response);
    AttemptResult handleRefusal(HttpConnection &connection, const EndpointRecord &endpoint,
                                const ResponseHead &head, const HttpResponse &response,
                                bool reused);
    AttemptResult relayStream(HttpConnection &connection, const EndpointRecord &endpoint,
                              const ResponseHead &head, const HttpResponse &response);
    /// Whether a stream that has ended was broken off before its end, as far as its bytes show.
    bool endsBroken(const HttpConnection &connection, const EndpointRecord &endpoint,
                    const EventSplitter &events, bool withoutEvent);
    AttemptResult failAttempt(const EndpointRecord &endpoint, FailureWeight weight,
                              std::string_view why);
    /// Handles an endpoint that did not answer, or stopped during its response.
    AttemptResult failRead(const HttpConnection &connection, const EndpointRecord &endpoint,
                           const Error &error);
    /// Handles a broken response of @p endpoint: checks whether the process of an endpoint of the
    /// attempt has exited, and reports to the other VMs.
    void noteBrokenResponse(const HttpConnection &connection, const EndpointRecord &endpoint);
    /// Called when the endpoint's whole response has arrived.
    void noteCompleted(unsigned status);
    /// Records that a connection has lost its way, which is no failure of the endpoint.
    void noteSilentConnection(const HttpConnection &connection, const EndpointRecord &endpoint);
    void recordFirstEvent(const EndpointRecord &endpoint);
    /// Sets @p batch to the complete events, up to one that is out of order.
    bool collectEvents(EventSplitter &events, std::string_view &batch);
    /// Holds @p bytes of the answer that @p connection brings; waits while memory is short.
    bool holdAnswer(AnswerMemory &memory, size_t bytes, HttpConnection &connection);
    void forwardEvents(const ResponseHead &head, unsigned status, std::string_view batch);
    HttpRequest upstreamRequest(const GangPlan &plan, const MemoryReservations &reservations) const;
    /// The endpoints to which the request may be sent and run.
    uint32_t attemptLimit() const;
    /// Whether the request may run at another endpoint beside the attempt in progress.
    bool mayRunElsewhere() const;
    /// Connections that were used longer ago may be dead.
    Duration justUsedTime() const;
    Duration streamSilenceTimeout() const;
    Duration firstEventTimeout(const GangPlan &plan) const;

    // relay_silence.cpp
    /// Called when the endpoint of the attempt in progress has sent nothing for some time. Returns
    /// when to call it again; nothing if the attempt is over.
    std::optional<TimePoint> handleSilence();
    /// Records the silence of the attempt in progress, once for each silence.
    void noteSilence(const SilentAttempt &silence, Duration silentFor);
    /// Called when the endpoint of an attempt that was silent sends something again.
    void noteActive(const EndpointRecord &endpoint);
    /// The endpoints of the service during the last @p silentFor.
    PoolActivity poolActivitySince(Duration silentFor) const;
    /// Makes another attempt while the one in progress is silent, which stays open meanwhile.
    void attemptBeside();
    /// Cancels the attempt in progress if the silent attempt @p index of m_standbys goes on.
    void watchStandby(size_t index, const std::shared_ptr<bool> &ended);
    void cancelFrom(size_t index);
    void cancel(Attempt &attempt);
    /// Releases the memory of an attempt, and ends it in the ledgers of all VMs.
    void releaseLoad(const Attempt &attempt);
    /// Cancels the silent attempts, since the attempt in progress answers the request.
    void cancelStandbys();
    /// Whether the attempt in progress was ended by this side.
    bool isCancelled() const;
    void cancelAttempts();
    void logSilence(const SilentAttempt &silence, Duration silentFor) const;

    // relay_forward.cpp
    /// The VM to which the request is forwarded now; nothing if this VM has to serve it.
    std::optional<ForwardPeer> forwardPeer();
    AttemptResult forward(const ForwardPeer &peer);
    AttemptResult forwardTo(const ForwardPeer &peer);
    AttemptResult exchangeWith(const ForwardPeer &peer, HttpConnection &connection);
    /// Handles a response that @p vm made itself: a refusal or a failure.
    AttemptResult forwardPeerResponse(HttpConnection &connection, const EndpointRecord &vm,
                                      const ResponseHead &head, HttpResponse response);
    /// Records that @p endpoint was not reached, with @p weight against this VM's own path.
    void noteUnreached(const EndpointRecord &endpoint, uint32_t weight);

    Duration remainingTime() const;
    void finishUnanswered();
    void refuse(unsigned status, std::string_view why, Millis retryAfter);
    void forwardResponse(const HttpResponse &response);
    /// The shared parts of the prompt as the client names them, for log lines.
    std::string partNames() const;
    void logEnd(RelayOutcome outcome, unsigned status, std::string_view why);
    /// The Retry-After for a refused client: nearly immediate if this VM drains, because other VMs
    /// can serve the request.
    Millis retryDelay() const;
    /// Time from the start of the drain to the arrival of the request, in milliseconds; -1 if the
    /// daemon does not drain.
    int64_t arrivedInDrainMs() const;

    /// Hash of the request's method, target, customer and body; equal for each attempt of the same
    /// request.
    const Fingerprint &fingerprint();
    /// Whether the request may be a suspect. Does not hash the body.
    bool maybeSuspect() const;

    RelayNode &m_node;
    HttpExchange &m_exchange;
    const RequestSource m_source;
    const TimePoint m_arrival;
    RelayHead m_head;
    RelayViewPtr m_view; ///< The view at the arrival, which determines the route.
    const Route *m_route = nullptr;
    const DeclaredService *m_service = nullptr;
    ServiceId m_serviceId;
    CustomerId m_customer;
    std::optional<Fingerprint> m_fingerprint; ///< Set when it is first needed.
    std::optional<PromptParts> m_promptParts; ///< Set when they are first needed.
    uint32_t m_urgency = 0;
    TimePoint m_deadline{};
    std::unordered_set<EndpointId> m_triedEndpoints; ///< Endpoints that are not tried again.
    /// Data centres to which a connection of this request failed.
    std::unordered_set<DataCentreId> m_unreachable;
    std::vector<SentAttempt> m_sent; ///< In the order of sending.
    uint32_t m_placements = 0;
    bool m_retryPaid = false; ///< The retry budget allows the next attempt that is sent.
    uint32_t m_unreached = 0; ///< Sum of the weights of noteUnreached().
    std::vector<VmId> m_forwardedTo;
    bool m_forwarding = false; ///< The attempt in progress is at another VM.
    Attempt m_attempt; ///< The attempt in progress.
    /// Silent attempts, each of which stays open while the next one is made.
    std::vector<Attempt> m_standbys;
    /// Endpoints that were silent when the last attempt of m_standbys was.
    std::unordered_set<EndpointId> m_silentEndpoints;
    uint32_t m_vainRounds = 0; ///< Times that no attempt could be sent beside a silent one.
    bool m_answered = false; ///< The client has received the whole response.
    std::optional<uint64_t> m_lastEvent; ///< Last event id that the client received.
    /// An endpoint's error response, used if no attempt succeeds.
    std::optional<HttpResponse> m_endpointFailure;
    std::optional<AnswerMemory> m_endpointFailureMemory;
    std::string m_failureReason; ///< Reason of the last failed attempt.
    /// Restrictions on the placement of a suspect, as last decided.
    SuspectHandling m_suspectHandling = SuspectHandling::None;
    /// Set once the request is not sent any more: when the client may retry.
    std::optional<Millis> m_quarantineRetryAfter;
    /// First arrival of a request that came back to its place.
    std::optional<TimePoint> m_returnOf;
    /// Set if the request is refused for the forecast of its turn.
    std::optional<ReturnAdvice> m_returnAdvice;
    /// Set if all endpoints take no request of this VM now.
    std::optional<Millis> m_limitedRetryAfter;
    TimePoint m_lastForwardedAt{}; ///< When events were last sent to the client.
    Duration m_longestGap{}; ///< Longest time between events sent to the client.
    Duration m_firstEventDelay{}; ///< Time from the arrival to the first event.
    bool m_streaming = false; ///< The client has received the head of the response.
    bool m_clientDisconnected = false;
};

} // namespace stackquay
