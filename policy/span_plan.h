/// Spans: one prompt whose KV cache is distributed over several engines of a data centre.
///
/// A span reserves memory on all its engines or fails. It reserves them one after the other in the
/// order of their ids. An engine without memory refuses at once, so a span never waits while it
/// holds memory, and of two spans that compete for their first common engine one proceeds. After
/// any failure, every member that holds or may hold memory is released. The release is repeated
/// until the engine confirms it, has died, or must have dropped the reservation by its time to
/// live.
#pragma once

#include <optional>
#include <vector>

#include "core/core.h"
#include "policy/outcome.h"

namespace stackquay {

/// Known memory of one engine. Only a hint, as the engine itself accepts or refuses a reservation.
struct SpanEngine {
    EndpointId m_endpoint;
    uint64_t m_totalTokens = 0; ///< KV cache memory.
    uint64_t m_freeTokens = 0;
};

/// Requirements of one request.
struct SpanNeed {
    uint64_t m_promptTokens = 0;
    uint64_t m_answerTokens = 0; ///< Longest answer; its memory is on the last member.
    uint32_t m_maxSpan = 1; ///< Maximum number of members that the model permits.
};

/// A contiguous part of the prompt and the engine that stores it.
struct SpanSegment {
    EndpointId m_endpoint;
    uint64_t m_firstToken = 0;
    uint64_t m_promptTokens = 0;
    uint64_t m_reservedTokens = 0; ///< m_promptTokens, plus the answer on the last member.
};

/// Chooses the smallest number of engines with enough free memory, preferring those with the most.
/// Returns the segments in the order of the engine ids. Errors: PromptTooLong with the limit in the
/// message if no permitted span of these engines can ever hold the request; NoCapacity if it does
/// not fit at the moment.
tl::expected<std::vector<SpanSegment>, Refusal> planSpan(const SpanNeed &need,
                                                         const std::vector<SpanEngine> &engines);

struct SpanSettings {
    /// The engine drops a reservation that is unused for this time. It has to exceed the time that
    /// filling all segments takes.
    Duration m_reservationTtl = Seconds(60);
    Duration m_replyTimeout = Seconds(5); ///< Timeout of a reservation or release.
    Duration m_clockMargin = Seconds(2); ///< Added to the TTL to tolerate clock differences.
};

/// State of one member, as known to the span.
enum class SpanMemberState {
    Untouched, ///< Nothing was sent.
    Requested, ///< Reservation sent; may hold memory.
    Held, ///< Reserved, but not filled yet.
    Filled, ///< Holds its segment of the prompt.
    Releasing, ///< May hold memory; the release is not confirmed.
    Gone, ///< Holds no memory any more.
};

/// One engine of a span.
struct SpanMember {
    SpanSegment m_segment;
    SpanMemberState m_state = SpanMemberState::Untouched;
    std::string m_handle; ///< Of the reservation; empty: not known.
    TimePoint m_sent{}; ///< Time of the last reservation or release.
    TimePoint m_expiry{}; ///< From then on the engine may drop the unused reservation.
    bool m_fillStarted = false; ///< The reservation is in use and no longer expires.
};

enum class SpanState {
    Reserving,
    Filling, ///< Segments are computed, exported and imported, in order.
    Running, ///< The last member decodes the answer.
    Releasing, ///< The result is final, but releases are not confirmed.
    Ended,
};

enum class SpanResult {
    Pending,
    Complete,
    NoMemory, ///< A member refused the reservation.
    MemberLost, ///< A member died, or a transfer failed.
    Expired, ///< A reservation expired, or an engine did not reply.
    Cancelled,
};

/// One span of one attempt.
struct Span {
    SpanSettings m_settings;
    AttemptId m_attempt;
    std::vector<SpanMember> m_members; ///< In the order of the engine ids.
    SpanState m_state = SpanState::Reserving;
    SpanResult m_result = SpanResult::Pending;
};

enum class SpanEventKind {
    Start, ///< The first event of a span.
    Reserved, ///< The engine has reserved the memory; with a handle.
    Refused, ///< The engine has reserved nothing.
    Filled, ///< The member's segment is exported and imported.
    FillFailed,
    RunComplete, ///< The answer is complete.
    RunFailed,
    MemberDied, ///< The engine died, and its memory is lost.
    Cancel,
    Released, ///< The engine lists no memory of the attempt any more.
    Tick, ///< The time of nextSpanTick() has come.
};

/// An input of a span.
struct SpanEvent {
    SpanEventKind m_kind = SpanEventKind::Tick;
    EndpointId m_endpoint; ///< Empty for events of the whole span.
    std::string m_handle; ///< For Reserved.
};

enum class SpanActionKind {
    Reserve, ///< Reserve m_tokens.
    Fill, ///< Fill the member's segment with m_tokens of the prompt.
    Run, ///< Decode the answer.
    Release, ///< Release m_handle, or if it is empty, all that the attempt holds there.
    Report, ///< Report the final result to the caller. Releases may follow later.
};

/// What the owner of a span has to do.
struct SpanAction {
    SpanActionKind m_kind = SpanActionKind::Report;
    EndpointId m_endpoint; ///< Empty for Report.
    std::string m_handle;
    uint64_t m_tokens = 0;
};

/// A span that has not started yet; SpanEventKind::Start starts it.
Span makeSpan(const SpanSettings &settings, const AttemptId &attempt,
              const std::vector<SpanSegment> &segments);

/// Processes an event and returns the actions that follow from it. Ignores outdated events, except
/// a Reserved event after the end of the span: that reservation is released, and the state returns
/// to Releasing.
std::vector<SpanAction> onSpanEvent(Span &span, const SpanEvent &event, TimePoint now);

/// Time at which the next Tick event is needed; no value if no timeout is pending.
std::optional<TimePoint> nextSpanTick(const Span &span);

} // namespace stackquay
