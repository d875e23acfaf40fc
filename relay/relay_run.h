/// One relayed request, from its arrival to its outcome.
///
/// The client's method, path, body and headers go to an endpoint unchanged, and its answer comes
/// back unchanged. What may be repeated is sent to another endpoint when one fails, within the
/// route's attempts, the fleet's retry budget and the deadline. "Not run" is answered only if no
/// attempt reached an endpoint, or each endpoint said that it did not run it.
#pragma once

#include <optional>
#include <unordered_set>

#include "relay/event_splitter.h"
#include "relay/memory_tickets.h"
#include "relay/relay_node.h"

namespace stackquay {

class RelayRun
{
public:
    RelayRun(RelayNode &node, HttpExchange &exchange);
    ~RelayRun();
    RelayRun(const RelayRun &) = delete;
    RelayRun &operator=(const RelayRun &) = delete;

    /// Answers the exchange. Blocks its fiber until the end.
    void run();
    /// Ends the request with the answer that is true now, as the daemon ends. After m_ending is
    /// set; on the traffic thread.
    void giveUp();

private:
    /// How one attempt ended.
    enum class AttemptEnd {
        Answered, ///< The client has the whole answer.
        NotSent, ///< Nothing reached the endpoint.
        NotRun, ///< The endpoint refused it.
        Failed, ///< It may have run.
    };

    /// Waits between tries while no endpoint can take the request.
    static constexpr Millis PlacementPause{ 60 };

    bool admit();
    bool admitKey(bool fresh);
    /// Whether the request can end before the daemon does, if that drains.
    bool admitDrain();
    /// Whether it may be tried, as endpoints may have ended under it; else says why it is barred.
    bool maySend();
    void attemptUntilDone();
    /// Whether another attempt may be made, given that some were.
    bool mayAttempt();

    // relay_placement.cpp
    /// What is in flight, and how its service's engines are divided.
    struct PoolNow {
        EndpointUses m_uses;
        std::unordered_set<EndpointId> m_strictSide; ///< Empty for a plain service.
    };
    PoolNow poolNow() const;
    std::optional<GangPlan> choose(StreamCare care, const PoolNow &seen);
    bool isModelRequest() const;
    uint32_t gapLimitMs() const { return static_cast<uint32_t>(m_route->m_gapAim.count()); }
    /// Waits until this request may begin. Nothing if it ends before, or if no endpoint can take a
    /// request that waits for no turn.
    std::optional<GangPlan> awaitTurn();
    /// Whether it begins now.
    TurnLook look(const WaitingTurn &turn, TurnObstacle before);
    ModelRequest modelRequest() const;
    /// What the engines for this one's kind of stream have to do now.
    SideLoad sideLoad(const PoolNow &seen) const;
    /// Engines of its service.
    size_t poolSize() const;
    /// From the beginning of an attempt to its end, on engines that are full; @p slack is by how
    /// much its parts may become longer than the declared costs say.
    Duration timeToEnd(double slack) const;
    RequestTime timeNeeded() const;
    /// Whether nothing has run, and an attempt that begins now cannot end before the daemon does.
    bool betterElsewhere() const;
    std::vector<EndpointRecord> candidates() const;
    /// A plan on engines of @p pool.
    std::optional<GangPlan> planOn(const std::vector<EndpointRecord> &pool, StreamCare care,
                                   const PoolNow &seen);
    void logPlacement(const GangPlan &plan) const;
    /// What stood in the way of one that is refused for want of time.
    void logTooLate(const WaitingTurn &turn) const;

    // relay_attempt.cpp
    AttemptEnd attempt(const GangPlan &plan);
    AttemptEnd attemptPlaced(const GangPlan &plan, const MemoryTickets &tickets);
    AttemptEnd converse(HttpConnection &connection, const EndpointRecord &endpoint, bool reused,
                        TimePoint firstBy);
    AttemptEnd takeAnswer(HttpConnection &connection, const EndpointRecord &endpoint,
                          const AnswerHead &head, HttpResponse response, TimePoint firstBy);
    AttemptEnd takeRefusal(HttpConnection &connection, const EndpointRecord &endpoint,
                           const AnswerHead &head, const HttpResponse &response, bool reused);
    AttemptEnd takeStream(HttpConnection &connection, const EndpointRecord &endpoint,
                          const AnswerHead &head, const HttpResponse &response, TimePoint firstBy);
    AttemptEnd failAttempt(const EndpointRecord &endpoint, FailureWeight weight,
                           std::string_view why);
    /// The endpoint did not answer, or stopped in its answer.
    AttemptEnd failRead(const HttpConnection &connection, const EndpointRecord &endpoint,
                        const Error &error);
    /// The answer of @p endpoint broke off: finds out whether an endpoint of the attempt ended
    /// under it, and tells the other VMs.
    void noteBroken(const HttpConnection &connection, const EndpointRecord &endpoint);
    /// The endpoint's whole answer came.
    void noteCompleted(unsigned status);
    AttemptEnd failSilent(const HttpConnection &connection, const EndpointRecord &endpoint);
    bool takeEvents(EventSplitter &events, std::string &batch);
    void passOnEvents(const AnswerHead &head, unsigned status, const std::string &batch);
    HttpRequest upstreamRequest(const GangPlan &plan, const MemoryTickets &tickets) const;
    bool mayRepeat() const;
    Duration silencePatience() const;
    Duration firstPatience(const GangPlan &plan) const;

    /// How long the client bears silence before it leaves.
    Duration clientPatience() const;
    Duration left() const;
    void finishUnanswered();
    void refuse(unsigned status, std::string_view why, Millis retryAfter);
    void passOn(const HttpResponse &response);
    void logEnd(RelayOutcome outcome, unsigned status, std::string_view why);
    /// What a client is told that is to come back: at once if this VM goes, as others serve.
    Millis retryDelay() const;
    /// How long the daemon had been draining when the request came; below zero: it was not.
    int64_t arrivedInDrainMs() const;

    bool strict() const { return !m_route->repeatable(); }
    /// The same for each try of the same request: its method, target, customer and body.
    const Fingerprint &print();
    /// Whether it may be a suspect. Reads no body.
    bool maybeSuspect() const;

    RelayNode &m_node;
    HttpExchange &m_exchange;
    const TimePoint m_arrival;
    RelayHead m_head;
    RelayViewPtr m_view; ///< At the arrival: decides on the route.
    const Route *m_route = nullptr;
    const DeclaredService *m_service = nullptr;
    ServiceId m_serviceId;
    CustomerId m_customer;
    std::optional<Fingerprint> m_print; ///< Once it was needed.
    uint32_t m_urgency = 0;
    TimePoint m_deadline{};
    std::unordered_set<EndpointId> m_tried; ///< Not to be tried again.
    uint32_t m_arrivals = 0; ///< Attempts that reached an endpoint.
    uint32_t m_mayHaveRun = 0; ///< Of those, the ones not refused.
    uint32_t m_placements = 0;
    HttpConnection *m_connection = nullptr; ///< Of the attempt in progress.
    const GangPlan *m_plan = nullptr; ///< Of the attempt in progress.
    LoadKey m_load;
    std::optional<uint64_t> m_lastEvent; ///< That the client has.
    std::optional<HttpResponse> m_failure; ///< An endpoint's own failure, if nothing better comes.
    std::string m_why; ///< Of the last failed attempt.
    SuspectCare m_care = SuspectCare::None; ///< How it may be tried, as last judged.
    std::optional<Millis> m_barredFor; ///< It is not tried any more here; when it may come back.
    TimePoint m_lastPassedOn{}; ///< When the client was last sent events.
    Duration m_longestGap{}; ///< Between events, as passed on.
    Duration m_firstAfter{}; ///< From arrival to the first event.
    bool m_streaming = false; ///< The client has the answer's head.
    bool m_hungUp = false;
};

} // namespace stackquay
