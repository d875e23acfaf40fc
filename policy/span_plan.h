/// Spans: one prompt on several engines of a data centre, all or nothing.
///
/// Members are reserved one after the other in the order of their ids. An
/// engine that has no memory refuses at once, so a span never waits while it
/// holds memory, and of two spans that meet on their first common engine one
/// goes on. Whatever fails, every member that holds or may hold memory is
/// released, again and again until its engine confirms it, has died, or must
/// have dropped the reservation by itself.
#pragma once

#include <optional>
#include <vector>

#include "core/core.h"
#include "policy/outcome.h"

namespace stackquay {

/// What is known of one engine; a hint, as the engine itself decides.
struct SpanEngine {
    EndpointId m_endpoint;
    uint64_t m_totalTokens = 0; ///< Of KV cache memory.
    uint64_t m_freeTokens = 0;
};

struct SpanNeed {
    uint64_t m_promptTokens = 0;
    uint64_t m_answerTokens = 0; ///< Longest answer; kept on the last member.
    uint32_t m_maxSpan = 1; ///< Most members that the model permits.
};

/// A contiguous part of the prompt, and the engine that keeps it.
struct SpanSegment {
    EndpointId m_endpoint;
    uint64_t m_firstToken = 0;
    uint64_t m_promptTokens = 0;
    uint64_t m_reservedTokens = 0; ///< The prompt's part, and on the last member the answer.
};

/// Chooses the fewest engines with enough free memory, those with the most
/// first; the segments are in the order of the engines' ids. Refused:
/// PromptTooLong if no permitted span of these engines can ever hold it, naming
/// the limit; NoCapacity if only not now.
tl::expected<std::vector<SpanSegment>, Refusal> planSpan(const SpanNeed &need,
                                                         const std::vector<SpanEngine> &engines);

struct SpanSettings {
    /// Has to cover the filling of all segments; the engine drops an unused
    /// reservation after it.
    Duration m_reservationTtl = Seconds(60);
    Duration m_answerTimeout = Seconds(5); ///< For a reservation's or a release's answer.
    Duration m_clockMargin = Seconds(2); ///< Beyond the ttl until a reservation is surely gone.
};

enum class SpanMemberState {
    Untouched, ///< Nothing was sent.
    Asked, ///< May hold memory.
    Held,
    Filled, ///< Holds its segment of the prompt.
    Releasing, ///< May hold memory; its release is not confirmed.
    Gone, ///< Holds nothing.
};

struct SpanMember {
    SpanSegment m_segment;
    SpanMemberState m_state = SpanMemberState::Untouched;
    std::string m_handle; ///< Empty: not known; release whatever the attempt holds there.
    TimePoint m_sent{}; ///< Of the last reservation or release.
    TimePoint m_expiry{}; ///< The engine may drop the reservation from then on.
    bool m_used = false; ///< Filling began, so that the reservation no longer
                         ///< ends by itself.
};

enum class SpanState {
    Reserving,
    Filling, ///< Segments are computed, exported and imported, in order.
    Running,
    Releasing,
    Ended,
};

enum class SpanResult {
    Pending,
    Complete,
    NoMemory, ///< A member refused.
    MemberLost, ///< A member died, or a transfer failed.
    Expired, ///< A reservation ran out, or an answer did not come.
    Cancelled,
};

/// One span of one attempt.
struct Span {
    SpanSettings m_settings;
    AttemptId m_attempt;
    std::vector<SpanMember> m_members; ///< By engine id.
    SpanState m_state = SpanState::Reserving;
    SpanResult m_result = SpanResult::Pending;
};

enum class SpanEventKind {
    Start,
    Reserved, ///< With a handle.
    Refused, ///< The engine says that it reserved nothing.
    Filled, ///< Export and import of the member's segment are done.
    FillFailed,
    RunComplete, ///< The whole answer came.
    RunFailed,
    MemberDied, ///< Its memory is gone with it.
    Cancel,
    Released, ///< A listing of the engine no longer shows anything of the
              ///< attempt.
    Tick, ///< Time passed.
};

struct SpanEvent {
    SpanEventKind m_kind = SpanEventKind::Tick;
    EndpointId m_endpoint; ///< Empty for events of the whole span.
    std::string m_handle;
};

enum class SpanActionKind {
    Reserve,
    Fill,
    Run,
    Release, ///< By handle, or all that the attempt holds there if the handle is
             ///< empty.
    Report, ///< The result is final: tell the caller now; releases may still go
            ///< on.
};

struct SpanAction {
    SpanActionKind m_kind = SpanActionKind::Report;
    EndpointId m_endpoint;
    std::string m_handle;
    uint64_t m_tokens = 0;
};

Span makeSpan(const SpanSettings &settings, const AttemptId &attempt,
              const std::vector<SpanSegment> &segments);

/// Takes an event; returns what to do. Events that no longer matter are
/// ignored, but a reservation that comes after the end is released, which opens
/// the span again.
std::vector<SpanAction> onSpanEvent(Span &span, const SpanEvent &event, TimePoint now);

/// When the next Tick is needed; no value once it has ended.
std::optional<TimePoint> nextSpanTick(const Span &span);

} // namespace stackquay
