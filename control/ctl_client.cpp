#include "control/ctl_client.h"

#include <future>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "control/command_http.h"
#include "control/command_json.h"
#include "net/net.h"

namespace stackquay {

namespace {

constexpr unsigned Rounds = 3; ///< Over all addresses.
constexpr Millis RoundPause{ 200 };
constexpr const char *InitOperator = "stackquayctl init";
constexpr unsigned ServiceUnavailable = 503;

CommandAnswer failure(CommandOutcome outcome, std::string text)
{
    CommandAnswer answer;
    answer.m_outcome = outcome;
    answer.m_text = std::move(text) + "\n";
    return answer;
}

Result<std::vector<Address>> parseAddresses(const std::vector<std::string> &texts)
{
    std::vector<Address> addresses;
    for (const std::string &text : texts) {
        const Result<Address> address = parseAddress(text);
        if (!address)
            return tl::unexpected(address.error());
        addresses.push_back(*address);
    }
    return addresses;
}

/// Runs @p function in a fiber of a thread that lives for the call.
CommandAnswer runInThread(const std::function<CommandAnswer(FiberThread &)> &function)
{
    FiberThread thread("stackquayctl");
    std::promise<CommandAnswer> promise;
    thread.start();
    thread.post([&] { promise.set_value(function(thread)); });
    CommandAnswer answer = promise.get_future().get();
    thread.stop();
    thread.join();
    return answer;
}

/// One command, sent until a daemon answers it.
class Sender
{
public:
    Sender(FiberThread &thread, const CtlSettings &settings, std::vector<Address> addresses,
           CommandRequest request)
        : m_thread(thread)
        , m_settings(settings)
        , m_addresses(std::move(addresses))
        , m_request(std::move(request))
        , m_started(Clock::now())
    { }

    CommandAnswer run()
    {
        for (unsigned round = 0; round < Rounds; ++round) {
            if (round > 0 && !sleepFor(m_thread.context(), RoundPause))
                break;
            for (const Address &address : m_addresses) {
                Result<CommandAnswer> answer = trySend(address);
                if (answer)
                    return std::move(*answer);
                m_error = toString(address) + ": " + answer.error().m_message;
            }
        }
        const bool unknown = m_maybeReceived;
        return failure(unknown ? CommandOutcome::Unknown : CommandOutcome::Unavailable,
                       (unknown ? "May be in effect: " : "Not in effect: ") + m_error);
    }

private:
    Result<CommandAnswer> trySend(const Address &address)
    {
        HttpConnection connection(m_thread.context());
        const Status connected = connection.connect(address, m_settings.m_timeout);
        if (!connected)
            return tl::unexpected(connected.error());
        if (m_maybeReceived)
            m_request.m_age = Clock::now() - m_started;
        const Status sent = connection.send(httpRequest(), m_settings.m_timeout);
        m_maybeReceived = m_maybeReceived || connection.bytesSent() > 0;
        if (!sent)
            return tl::unexpected(sent.error());
        const Result<HttpResponse> header =
            connection.readHeader(m_settings.m_timeout + m_request.m_wait);
        if (!header)
            return tl::unexpected(header.error());
        const Result<std::string> body = connection.readWhole(m_settings.m_timeout);
        if (!body)
            return tl::unexpected(body.error());
        return toAnswer(*header, *body);
    }

    HttpRequest httpRequest() const
    {
        return { "POST",
                 CommandPath,
                 { { "Authorization", "Bearer " + m_settings.m_key },
                   { "Content-Type", "application/json" } },
                 encodeCommandRequest(m_request) };
    }

    /// An answer of something else than the command's handler is an error.
    static Result<CommandAnswer> toAnswer(const HttpResponse &header, const std::string &body)
    {
        Result<CommandAnswer> answer = decodeCommandAnswer(body);
        if (!answer && header.m_status == ServiceUnavailable)
            return makeError(ErrorCode::Unavailable, "the daemon is not ready");
        if (!answer)
            return makeError(ErrorCode::ProtocolError,
                             fmt::format("status {} without an answer", header.m_status));
        return answer;
    }

    FiberThread &m_thread;
    const CtlSettings &m_settings;
    std::vector<Address> m_addresses;
    CommandRequest m_request;
    TimePoint m_started;
    bool m_maybeReceived = false;
    std::string m_error = "no address";
};

CommandAnswer commitFirst(IntentStore &store, const Intent &intent)
{
    const CommitResult result = store.commit({ 0, ChangeId(randomToken()), InitOperator, "init",
                                               encodeIntent(intent), Duration::zero() });
    switch (result.m_outcome) {
    case CommitOutcome::Committed: {
        CommandAnswer answer = failure(CommandOutcome::Committed,
                                       fmt::format("In effect at revision {}.", result.m_revision));
        answer.m_revision = result.m_revision;
        return answer;
    }
    case CommitOutcome::Conflict:
        return failure(CommandOutcome::Conflict,
                       fmt::format("Not in effect: an intent is declared already, revision {}.",
                                   result.m_revision));
    case CommitOutcome::NotWritten:
        return failure(CommandOutcome::Unavailable, "Not in effect: " + result.m_error.m_message);
    case CommitOutcome::Unknown:
        return failure(CommandOutcome::Unknown, "May be in effect: " + result.m_error.m_message);
    }
    std::abort();
}

Result<Intent> checkedIntent(const std::string &json)
{
    Result<Intent> intent = decodeIntent(json);
    if (!intent)
        return intent;
    std::vector<std::string> lines;
    for (const IntentProblem &problem : checkIntent(*intent))
        lines.push_back(toString(problem));
    if (!lines.empty())
        return makeError(ErrorCode::InvalidArgument, fmt::format("{}", fmt::join(lines, "\n")));
    intent->m_revision = 1;
    return intent;
}

} // namespace

CommandAnswer sendCommand(const CtlSettings &settings, const std::string &statement)
{
    const Result<std::vector<Address>> addresses = parseAddresses(settings.m_addresses);
    if (!addresses)
        return failure(CommandOutcome::Refused, "--address: " + addresses.error().m_message);
    CommandRequest request{ statement, ChangeId(randomToken()), Duration::zero(),
                            settings.m_wait ? settings.m_waitTimeout : Millis(0) };
    return runInThread([&](FiberThread &thread) {
        return Sender(thread, settings, *addresses, std::move(request)).run();
    });
}

CommandAnswer declareFirstIntent(const CtlSettings &settings, const std::string &json)
{
    const Result<std::vector<Address>> platform = parseAddresses(settings.m_platform);
    if (!platform || platform->empty())
        return failure(CommandOutcome::Refused,
                       "--platform: found no address, allowed a.b.c.d:port");
    const Result<Intent> intent = checkedIntent(json);
    if (!intent)
        return failure(CommandOutcome::Refused, intent.error().m_message);
    return runInThread([&](FiberThread &thread) {
        StoreSettings storeSettings;
        storeSettings.m_addresses = *platform;
        std::random_device source;
        StoreClient client(thread.context(), storeSettings, RandomEngine(source()));
        IntentStore store(client, thread.context(), {}, RandomEngine(source()));
        return commitFirst(store, *intent);
    });
}

} // namespace stackquay
