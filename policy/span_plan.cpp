#include "policy/span_plan.h"

#include <algorithm>

#include <fmt/format.h>

namespace stackquay {

namespace {

/// Sorts engines by @p memory in descending order, and by id among equals.
std::vector<SpanEngine> sortedBy(std::vector<SpanEngine> engines, uint64_t SpanEngine::*memory)
{
    std::sort(engines.begin(), engines.end(), [memory](const auto &a, const auto &b) {
        if (a.*memory != b.*memory)
            return a.*memory > b.*memory;
        return a.m_endpoint < b.m_endpoint;
    });
    return engines;
}

uint64_t memoryOfLargest(const std::vector<SpanEngine> &engines, size_t count)
{
    const std::vector<SpanEngine> sorted = sortedBy(engines, &SpanEngine::m_totalTokens);
    uint64_t sum = 0;
    for (size_t i = 0; i < std::min(count, sorted.size()); ++i)
        sum += sorted[i].m_totalTokens;
    return sum;
}

/// Distributes the prompt over the chosen engines in the order of their ids. The memory of the
/// answer is added to the last segment, so that this one may not fit.
std::vector<SpanSegment> split(const SpanNeed &need, std::vector<SpanEngine> chosen)
{
    std::sort(chosen.begin(), chosen.end(),
              [](const auto &a, const auto &b) { return a.m_endpoint < b.m_endpoint; });
    std::vector<SpanSegment> segments;
    uint64_t first = 0;
    for (size_t i = 0; i < chosen.size(); ++i) {
        const bool last = i + 1 == chosen.size();
        const uint64_t left = need.m_promptTokens - first;
        const uint64_t tokens = last ? left : std::min(left, chosen[i].m_freeTokens);
        const uint64_t answer = last ? need.m_answerTokens : 0;
        segments.push_back({ chosen[i].m_endpoint, first, tokens, tokens + answer });
        first += tokens;
    }
    return segments;
}

bool segmentsFit(const std::vector<SpanSegment> &segments, const std::vector<SpanEngine> &chosen)
{
    return std::all_of(segments.begin(), segments.end(), [&](const SpanSegment &segment) {
        return std::any_of(chosen.begin(), chosen.end(), [&](const SpanEngine &engine) {
            return engine.m_endpoint == segment.m_endpoint
                   && segment.m_reservedTokens <= engine.m_freeTokens;
        });
    });
}

SpanMember *findMember(Span &span, const EndpointId &endpoint)
{
    const auto found =
        std::find_if(span.m_members.begin(), span.m_members.end(), [&](const SpanMember &member) {
            return member.m_segment.m_endpoint == endpoint;
        });
    return found == span.m_members.end() ? nullptr : &*found;
}

bool mayHoldMemory(const SpanMember &member)
{
    return member.m_state != SpanMemberState::Untouched && member.m_state != SpanMemberState::Gone;
}

SpanAction release(SpanMember &member, TimePoint now)
{
    member.m_state = SpanMemberState::Releasing;
    member.m_sent = now;
    return { SpanActionKind::Release, member.m_segment.m_endpoint, member.m_handle, 0 };
}

void endIfNothingIsHeld(Span &span)
{
    const bool held = std::any_of(span.m_members.begin(), span.m_members.end(), mayHoldMemory);
    if (!held)
        span.m_state = SpanState::Ended;
}

std::vector<SpanAction> finish(Span &span, SpanResult result, TimePoint now)
{
    std::vector<SpanAction> actions;
    span.m_result = result;
    span.m_state = SpanState::Releasing;
    actions.push_back({ SpanActionKind::Report, {}, {}, 0 });
    for (SpanMember &member : span.m_members) {
        if (mayHoldMemory(member))
            actions.push_back(release(member, now));
    }
    endIfNothingIsHeld(span);
    return actions;
}

std::vector<SpanAction> fillNext(Span &span)
{
    for (SpanMember &member : span.m_members) {
        if (member.m_state != SpanMemberState::Held)
            continue;
        member.m_fillStarted = true;
        return { { SpanActionKind::Fill, member.m_segment.m_endpoint, member.m_handle,
                   member.m_segment.m_promptTokens } };
    }
    span.m_state = SpanState::Running;
    const SpanMember &last = span.m_members.back();
    return { { SpanActionKind::Run, last.m_segment.m_endpoint, last.m_handle, 0 } };
}

std::vector<SpanAction> reserveNext(Span &span, TimePoint now)
{
    for (SpanMember &member : span.m_members) {
        if (member.m_state != SpanMemberState::Untouched)
            continue;
        member.m_state = SpanMemberState::Requested;
        member.m_sent = now;
        member.m_expiry = now + span.m_settings.m_reservationTtl;
        return { { SpanActionKind::Reserve,
                   member.m_segment.m_endpoint,
                   {},
                   member.m_segment.m_reservedTokens } };
    }
    span.m_state = SpanState::Filling;
    return fillNext(span);
}
std::vector<SpanAction> onReserved(Span &span, SpanMember &member, const SpanEvent &event,
                                   TimePoint now)
{
    // The span may have ended before the reservation was confirmed.
    if (span.m_state == SpanState::Releasing || span.m_state == SpanState::Ended) {
        span.m_state = SpanState::Releasing;
        member.m_handle = event.m_handle;
        return { release(member, now) };
    }
    if (member.m_state != SpanMemberState::Requested)
        return {};
    member.m_state = SpanMemberState::Held;
    member.m_handle = event.m_handle;
    return reserveNext(span, now);
}

std::vector<SpanAction> onFilled(Span &span, SpanMember &member)
{
    if (span.m_state != SpanState::Filling || member.m_state != SpanMemberState::Held)
        return {};
    member.m_state = SpanMemberState::Filled;
    return fillNext(span);
}

std::vector<SpanAction> onMemberGone(Span &span, SpanMember &member, SpanResult result,
                                     TimePoint now)
{
    if (member.m_state == SpanMemberState::Gone)
        return {};
    const bool wasActive = span.m_state != SpanState::Releasing;
    member.m_state = SpanMemberState::Gone;
    if (wasActive)
        return finish(span, result, now);
    endIfNothingIsHeld(span);
    return {};
}

/// Ignores late refusals, which do not confirm a release that was sent after the reservation.
std::vector<SpanAction> onRefused(Span &span, SpanMember &member, TimePoint now)
{
    if (member.m_state != SpanMemberState::Requested)
        return {};
    return onMemberGone(span, member, SpanResult::NoMemory, now);
}

std::vector<SpanAction> repeatReleases(Span &span, TimePoint now)
{
    std::vector<SpanAction> actions;
    for (SpanMember &member : span.m_members) {
        if (member.m_state != SpanMemberState::Releasing)
            continue;
        if (!member.m_fillStarted && now >= member.m_expiry + span.m_settings.m_clockMargin)
            member.m_state = SpanMemberState::Gone;
        else if (now >= member.m_sent + span.m_settings.m_replyTimeout)
            actions.push_back(release(member, now));
    }
    endIfNothingIsHeld(span);
    return actions;
}

bool hasTimedOut(const Span &span, const SpanMember &member, TimePoint now)
{
    if (member.m_state == SpanMemberState::Requested)
        return now >= member.m_sent + span.m_settings.m_replyTimeout;
    return member.m_state == SpanMemberState::Held && !member.m_fillStarted
           && now >= member.m_expiry;
}

std::vector<SpanAction> onTick(Span &span, TimePoint now)
{
    if (span.m_state == SpanState::Releasing)
        return repeatReleases(span, now);
    const bool expired =
        std::any_of(span.m_members.begin(), span.m_members.end(),
                    [&](const SpanMember &member) { return hasTimedOut(span, member, now); });
    if (expired)
        return finish(span, SpanResult::Expired, now);
    return {};
}

std::vector<SpanAction> onMemberEvent(Span &span, const SpanEvent &event, TimePoint now)
{
    SpanMember *member = findMember(span, event.m_endpoint);
    if (member == nullptr)
        return {};
    switch (event.m_kind) {
    case SpanEventKind::Reserved:
        return onReserved(span, *member, event, now);
    case SpanEventKind::Refused:
        return onRefused(span, *member, now);
    case SpanEventKind::Filled:
        return onFilled(span, *member);
    case SpanEventKind::Released:
        if (member->m_state != SpanMemberState::Releasing)
            return {};
        return onMemberGone(span, *member, SpanResult::Cancelled, now);
    case SpanEventKind::MemberDied:
        return onMemberGone(span, *member, SpanResult::MemberLost, now);
    default:
        return {};
    }
}

} // namespace

tl::expected<std::vector<SpanSegment>, Refusal> planSpan(const SpanNeed &need,
                                                         const std::vector<SpanEngine> &engines)
{
    const uint64_t needed = need.m_promptTokens + need.m_answerTokens;
    const size_t maxMembers =
        std::min<size_t>(std::max<uint32_t>(need.m_maxSpan, 1), engines.size());
    const uint64_t limit = memoryOfLargest(engines, maxMembers);
    if (needed > limit) {
        return tl::unexpected(Refusal{
            RequestError::PromptTooLong,
            Outcome::RefusedNotRun,
            fmt::format("Needs memory for {} tokens; the limit is {} tokens on {} engines.", needed,
                        limit, maxMembers),
            {} });
    }
    const std::vector<SpanEngine> byFree = sortedBy(engines, &SpanEngine::m_freeTokens);
    for (size_t count = 1; count <= maxMembers; ++count) {
        const std::vector<SpanEngine> chosen(byFree.begin(),
                                             byFree.begin() + static_cast<std::ptrdiff_t>(count));
        std::vector<SpanSegment> segments = split(need, chosen);
        if (segmentsFit(segments, chosen))
            return segments;
    }
    return tl::unexpected(Refusal{
        RequestError::NoCapacity, Outcome::RefusedNotRun,
        fmt::format("No {} engines have memory free for {} tokens now.", maxMembers, needed),
        Seconds(5) });
}

Span makeSpan(const SpanSettings &settings, const AttemptId &attempt,
              const std::vector<SpanSegment> &segments)
{
    Span span;
    span.m_settings = settings;
    span.m_attempt = attempt;
    for (const SpanSegment &segment : segments)
        span.m_members.push_back({ segment, SpanMemberState::Untouched, {}, {}, {}, false });
    std::sort(span.m_members.begin(), span.m_members.end(), [](const auto &a, const auto &b) {
        return a.m_segment.m_endpoint < b.m_segment.m_endpoint;
    });
    return span;
}

std::vector<SpanAction> onSpanEvent(Span &span, const SpanEvent &event, TimePoint now)
{
    const bool late = event.m_kind == SpanEventKind::Reserved;
    if (span.m_members.empty() || (span.m_state == SpanState::Ended && !late))
        return {};
    const bool active = span.m_state != SpanState::Releasing;
    switch (event.m_kind) {
    case SpanEventKind::Start:
        return active ? reserveNext(span, now) : std::vector<SpanAction>{};
    case SpanEventKind::Tick:
        return onTick(span, now);
    case SpanEventKind::Cancel:
        return active ? finish(span, SpanResult::Cancelled, now) : std::vector<SpanAction>{};
    case SpanEventKind::FillFailed:
    case SpanEventKind::RunFailed:
        return active ? finish(span, SpanResult::MemberLost, now) : std::vector<SpanAction>{};
    case SpanEventKind::RunComplete:
        if (span.m_state != SpanState::Running)
            return {};
        return finish(span, SpanResult::Complete, now);
    default:
        return onMemberEvent(span, event, now);
    }
}

std::optional<TimePoint> nextSpanTick(const Span &span)
{
    std::optional<TimePoint> next;
    for (const SpanMember &member : span.m_members) {
        const bool replyDue = member.m_state == SpanMemberState::Requested
                              || member.m_state == SpanMemberState::Releasing;
        TimePoint due = member.m_expiry;
        if (replyDue)
            due = member.m_sent + span.m_settings.m_replyTimeout;
        else if (member.m_state != SpanMemberState::Held)
            continue;
        next = next ? std::min(*next, due) : due;
    }
    return next;
}

} // namespace stackquay
