#include "entry/request_context.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace stackquay {

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::string_view DeadlineHeader = "Stackquay-Deadline";
constexpr size_t MaxIdempotencyKeyBytes = 255;

tl::unexpected<Refusal> refuse(RequestError error, std::string message)
{
    return tl::unexpected(refuseNotRun(error, std::move(message)));
}

const Customer *authenticate(const HttpRequest &request, const RoutingView &view)
{
    std::string_view header = findHeader(request.m_headers, "Authorization");
    if (header.substr(0, BearerPrefix.size()) != BearerPrefix)
        return nullptr;
    header.remove_prefix(BearerPrefix.size());
    return view.findCustomer(header);
}

Result<int> parsePriority(std::string_view text)
{
    int priority = 0;
    const char *end = text.data() + text.size();
    const auto [last, error] = std::from_chars(text.data(), end, priority);
    if (error != std::errc() || last != end)
        return makeError(ErrorCode::InvalidArgument,
                         fmt::format("Stackquay-Priority '{}' is not an integer", text));
    return priority;
}

} // namespace

Refusal refuseNotRun(RequestError error, std::string message)
{
    Refusal refusal;
    refusal.m_error = error;
    refusal.m_outcome = Outcome::RefusedNotRun;
    refusal.m_message = std::move(message);
    return refusal;
}

std::optional<Duration> readDeadlineHeader(const HttpRequest &head)
{
    const auto parsed = parseDeadline(findHeader(head.m_headers, DeadlineHeader));
    if (!parsed)
        return std::nullopt;
    return *parsed;
}

tl::expected<RequestContext, Refusal> makeRequestContext(const HttpRequest &request, RequestId id,
                                                         RoutingViewPtr view, TimePoint arrived)
{
    RequestContext context;
    context.m_id = std::move(id);
    context.m_arrived = arrived;
    if (!view)
        return refuse(RequestError::NoCapacity, "this VM has no configuration yet");
    context.m_customer = authenticate(request, *view);
    if (!context.m_customer)
        return refuse(RequestError::Unauthenticated, "a valid bearer key is required");
    context.m_view = std::move(view);
    const std::string_view priority = findHeader(request.m_headers, "Stackquay-Priority");
    if (!priority.empty()) {
        const auto parsed = parsePriority(priority);
        if (!parsed)
            return refuse(RequestError::InvalidRequest, parsed.error().m_message);
        context.m_priority = std::min(*parsed, context.m_customer->m_priority);
    }
    const std::string_view deadline = findHeader(request.m_headers, DeadlineHeader);
    if (!deadline.empty()) {
        const auto parsed = parseDeadline(deadline);
        if (!parsed)
            return refuse(RequestError::InvalidRequest, parsed.error().m_message);
        context.m_requestedDeadline = *parsed;
    }
    const std::string_view repeatable = findHeader(request.m_headers, "Stackquay-Repeatable");
    if (!repeatable.empty() && repeatable != "yes" && repeatable != "no")
        return refuse(RequestError::InvalidRequest, "Stackquay-Repeatable must be yes or no");
    context.m_repeatable = repeatable != "no";
    context.m_idempotencyKey = std::string(findHeader(request.m_headers, "Idempotency-Key"));
    if (context.m_idempotencyKey.size() > MaxIdempotencyKeyBytes)
        return refuse(
            RequestError::InvalidRequest,
            fmt::format("Idempotency-Key must not exceed {} bytes", MaxIdempotencyKeyBytes));
    return context;
}

} // namespace stackquay
