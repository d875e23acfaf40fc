#include "store/store_channel.h"

#include <algorithm>

#include <fmt/format.h>

namespace stackquay {

namespace {

/// An object has 1 MiB at most; a list of some thousand objects is shorter.
constexpr size_t MaxStoreResponseBytes = 4 * 1024 * 1024;

constexpr size_t IdleConnections = 8;
constexpr unsigned StatusTooManyRequests = 429;
constexpr unsigned StatusServerError = 500;
constexpr unsigned StatusUnavailable = 503;
/// Key of an object that need not exist: any response shows that the store is available.
constexpr const char *ProbeTarget = "/objects/stackquay-probe";

bool isWrite(StoreCount kind)
{
    return kind == StoreCount::Puts || kind == StoreCount::Removes;
}

/// Whether nothing was written and a retry may succeed.
bool isRetryable(const Error &error)
{
    return error.m_code == ErrorCode::Unavailable || error.m_code == ErrorCode::ResourceExhausted;
}

/// The error for a response with status 429 or 5xx; nullopt for any other response.
std::optional<Error> responseError(const HttpResponse &response, StoreCount kind)
{
    if (response.m_status == StatusTooManyRequests)
        return Error{ ErrorCode::ResourceExhausted, "the rate limit of the store is exceeded" };
    if (response.m_status == StatusUnavailable)
        return Error{ ErrorCode::Unavailable, "the store reports that it is unavailable" };
    if (response.m_status < StatusServerError)
        return std::nullopt;
    const auto code = isWrite(kind) ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable;
    return Error{ code, fmt::format("the store responded with status {}", response.m_status) };
}

/// Converts an error that occurred after a part of the call may have been sent.
Error lostResponse(const Error &error, StoreCount kind)
{
    if (error.m_code == ErrorCode::InvalidArgument)
        return error; // The call is not HTTP: nothing was sent.
    if (isWrite(kind))
        return { ErrorCode::OutcomeUnknown, "response lost: " + error.m_message };
    if (error.m_code == ErrorCode::Cancelled)
        return error;
    return { ErrorCode::Unavailable, error.m_message };
}

} // namespace

StoreChannel::StoreChannel(boost::asio::io_context &context, StoreSettings settings,
                           RandomEngine random)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_random(random)
    , m_pool(context, IdleConnections, m_settings.m_silence)
    , m_reads(makeCallBudget(m_settings.m_readsPerSecond, m_settings.m_burst, Clock::now()))
    , m_writes(makeCallBudget(m_settings.m_writesPerSecond, m_settings.m_burst, Clock::now()))
{
    m_circuitBreaker.m_failureThreshold = m_settings.m_outageFailureThreshold;
}

Result<HttpResponse> StoreChannel::call(const StoreCall &call)
{
    const TimePoint deadline = Clock::now() + call.m_callTimeout;
    for (unsigned failures = 0;; ++failures) {
        const Status budget = waitForBudget(call, deadline);
        if (!budget)
            return tl::unexpected(budget.error());
        const Duration remaining = deadline - Clock::now();
        auto response =
            tryOnce(call, std::clamp<Duration>(remaining, Millis(1), call.m_tryTimeout));
        if (response || !m_settings.m_retry || !isRetryable(response.error()))
            return response;
        const Duration delay = backoffDelay(m_settings.m_backoff, failures, m_random);
        if (Clock::now() + delay >= deadline)
            return response;
        if (!sleepFor(m_context, delay))
            return makeError(ErrorCode::Cancelled, "the thread is stopping");
    }
}

Status StoreChannel::waitForBudget(const StoreCall &call, TimePoint deadline)
{
    if (m_circuitBreaker.m_open) {
        count(StoreCount::FailedFast);
        return makeError(ErrorCode::Unavailable, "the store is unavailable (outage mode)");
    }
    CallBudget &budget = isWrite(call.m_kind) ? m_writes : m_reads;
    const TimePoint now = Clock::now();
    const auto wait = reserveCall(budget, now, deadline - now);
    if (!wait) {
        count(StoreCount::OverBudget);
        return makeError(ErrorCode::ResourceExhausted, "the call budget of this client is used up");
    }
    if (*wait > Duration::zero() && !sleepFor(m_context, *wait))
        return makeError(ErrorCode::Cancelled, "the thread is stopping");
    return {};
}

Result<HttpResponse> StoreChannel::tryOnce(const StoreCall &call, Duration timeout)
{
    count(call.m_kind);
    auto response = isWrite(call.m_kind) ? exchangeWrite(call, timeout) : exchange(call, timeout);
    std::optional<Error> error;
    if (!response)
        error = response.error();
    else
        error = responseError(*response, call.m_kind);
    if (!error) {
        handleSuccess();
        return response;
    }
    if (error->m_code == ErrorCode::OutcomeUnknown)
        count(StoreCount::UnknownWrites);
    if (error->m_code == ErrorCode::ResourceExhausted) {
        count(StoreCount::Throttled);
        handleSuccess();
    } else if (error->m_code != ErrorCode::Cancelled
               && error->m_code != ErrorCode::InvalidArgument) {
        handleFailure(*error);
    }
    return tl::unexpected(*error);
}

Result<HttpResponse> StoreChannel::exchange(const StoreCall &call, Duration timeout)
{
    if (m_settings.m_addresses.empty())
        return makeError(ErrorCode::Unavailable, "no address of the store is configured");
    HttpCallOptions options;
    options.m_timeout = timeout;
    options.m_bodyLimit = MaxStoreResponseBytes;
    // A watch may receive nothing for a long time, so silence does not replace its connection; the
    // connection is probed instead. On a new connection the watch resumes from the same revision,
    // without loss, and with its full timeout.
    options.m_anew = call.m_kind == StoreCount::Watches;
    if (!options.m_anew)
        options.m_replaceAfter = m_settings.m_replaceAfter;
    auto response = m_pool.call(m_settings.m_addresses[m_addressIndex], call.m_request, options);
    if (!response)
        return tl::unexpected(lostResponse(response.error(), call.m_kind));
    return response;
}

// Uses a new connection for each write. On a reused one, which the store may have closed while
// idle, the failure would have to be treated as a write with unknown outcome.
Result<HttpResponse> StoreChannel::exchangeWrite(const StoreCall &call, Duration timeout)
{
    if (m_settings.m_addresses.empty())
        return makeError(ErrorCode::Unavailable, "no address of the store is configured");
    const TimePoint deadline = Clock::now() + timeout;
    const auto remaining = [&] { return std::max<Duration>(deadline - Clock::now(), Millis(1)); };
    const Address address = m_settings.m_addresses[m_addressIndex];
    auto connection = m_pool.acquire(address, timeout, true);
    if (!connection) {
        const Error &error = connection.error();
        const bool cancelled = error.m_code == ErrorCode::Cancelled;
        return makeError(cancelled ? error.m_code : ErrorCode::Unavailable, error.m_message);
    }
    const Status sent = (*connection)->send(call.m_request, remaining());
    if (!sent)
        return tl::unexpected(lostResponse(sent.error(), call.m_kind));
    auto response = (*connection)->readHeader(remaining());
    if (!response)
        return tl::unexpected(lostResponse(response.error(), call.m_kind));
    auto body = (*connection)->readWhole(remaining(), MaxStoreResponseBytes);
    if (!body)
        return tl::unexpected(lostResponse(body.error(), call.m_kind));
    response->m_body = std::move(*body);
    m_pool.release(address, std::move(*connection));
    return response;
}

void StoreChannel::handleSuccess()
{
    if (recordSuccess(m_circuitBreaker))
        log(LogPart::Store).info("Outage ended.");
    m_outage.store(false, std::memory_order_relaxed);
}

void StoreChannel::handleFailure(const Error &error)
{
    count(StoreCount::Failures);
    if (!m_settings.m_addresses.empty())
        m_addressIndex = (m_addressIndex + 1) % m_settings.m_addresses.size();
    if (!recordFailure(m_circuitBreaker))
        return;
    count(StoreCount::Outages);
    m_outage.store(true, std::memory_order_relaxed);
    log(LogPart::Store).warn("Outage began. error={}", toString(error));
    if (m_probing)
        return;
    m_probing = true;
    spawnFiber([self = shared_from_this()] {
        self->probeUntilAvailable();
        self->m_probing = false;
    });
}

void StoreChannel::probeUntilAvailable()
{
    for (unsigned failures = 0; m_circuitBreaker.m_open; ++failures) {
        if (!sleepFor(m_context, backoffDelay(m_settings.m_probe, failures, m_random)) || m_closed)
            return;
        if (probeOnce())
            return;
    }
}

bool StoreChannel::probeOnce()
{
    StoreCall probe;
    probe.m_kind = StoreCount::Probes;
    probe.m_request.m_target = ProbeTarget;
    return tryOnce(probe, m_settings.m_tryTimeout).has_value() || !m_circuitBreaker.m_open;
}

void StoreChannel::count(StoreCount counter)
{
    m_counts[size_t(counter)].fetch_add(1, std::memory_order_relaxed);
}

StoreCounters StoreChannel::counters() const
{
    const auto value = [this](StoreCount counter) {
        return m_counts[size_t(counter)].load(std::memory_order_relaxed);
    };
    StoreCounters counters;
    counters.m_gets = value(StoreCount::Gets);
    counters.m_puts = value(StoreCount::Puts);
    counters.m_removes = value(StoreCount::Removes);
    counters.m_lists = value(StoreCount::Lists);
    counters.m_watches = value(StoreCount::Watches);
    counters.m_vmLists = value(StoreCount::VmLists);
    counters.m_probes = value(StoreCount::Probes);
    counters.m_conflicts = value(StoreCount::Conflicts);
    counters.m_throttled = value(StoreCount::Throttled);
    counters.m_failures = value(StoreCount::Failures);
    counters.m_unknownWrites = value(StoreCount::UnknownWrites);
    counters.m_overBudget = value(StoreCount::OverBudget);
    counters.m_failedFast = value(StoreCount::FailedFast);
    counters.m_outages = value(StoreCount::Outages);
    counters.m_outage = outage();
    return counters;
}

} // namespace stackquay
