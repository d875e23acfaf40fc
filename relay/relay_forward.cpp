/// Part of RelayRun: forwarding a request to another VM while this VM reaches no endpoint.
///
/// The other VM serves it like a client's request, with its own placement, and forwards it no
/// further. Its own refusals promise that the request did not run, as those to a client do.
#include <fmt/format.h>

#include "relay/relay_run.h"

namespace stackquay {

namespace {

/// For a response that is not a stream, and for one of the other VM's own.
constexpr Millis BodyTimeout{ 1'000 };
/// Of a response of the other VM's own, which is a short message.
constexpr size_t MaxRefusalBytes = 64 * 1024;
/// Sum of the weights of what a request does not reach before it is forwarded, if the VM is not
/// known to be isolated.
constexpr uint32_t MaxUnreached = 2;
constexpr size_t MaxForwards = 2;

} // namespace

std::optional<ForwardPeer> RelayRun::forwardPeer()
{
    const bool cutOff = m_node.m_path.isIsolated() || m_unreached >= MaxUnreached;
    if (m_source == RequestSource::Vm || !cutOff || m_forwardedTo.size() >= MaxForwards)
        return std::nullopt;
    const double draw = std::uniform_real_distribution<double>(0, 1)(m_node.m_random);
    const ForwardPeer *peer = chooseForwardPeer(
        m_node.m_forwardPeers, m_node.m_settings.m_dataCentre, m_forwardedTo, draw);
    if (!peer)
        return std::nullopt;
    return *peer;
}

void RelayRun::noteUnreached(const EndpointRecord &endpoint, uint32_t weight)
{
    m_unreached += weight;
    m_node.m_path.noteUnreached(endpoint);
}

RelayRun::AttemptResult RelayRun::forward(const ForwardPeer &peer)
{
    m_forwardedTo.push_back(peer.m_vm);
    m_forwarding = true;
    const AttemptResult end = forwardTo(peer);
    m_forwarding = false;
    DecisionLine("relay", "request forwarded")
        .text("request", m_head.m_id.str())
        .number("attempt", static_cast<int64_t>(m_attempt.m_number))
        .text("vm", peer.m_vm.str())
        .flag("isolated", m_node.m_path.isIsolated())
        .flag("answered", end == AttemptResult::Answered)
        .flag("may_have_run", possibleRuns() > 0)
        .text("why", end == AttemptResult::Answered ? std::string_view() : m_failureReason)
        .number("ms", std::chrono::duration_cast<Millis>(Clock::now() - m_arrival).count())
        .write();
    return end;
}

RelayRun::AttemptResult RelayRun::forwardTo(const ForwardPeer &peer)
{
    const auto address = parseAddress(peer.m_address);
    if (!address)
        return AttemptResult::NotSent;
    auto connection = connectTo(*address, false);
    if (!connection) {
        m_failureReason = connection.error().m_message;
        return AttemptResult::NotSent;
    }
    if (!mayStillSend())
        return AttemptResult::NotSent;
    m_attempt.m_connection = connection->get();
    // The other VM's configuration may allow more.
    const uint32_t limit = atMostOnce() ? 1 : attemptLimit();
    const uint32_t left = limit - std::min(possibleRuns(), limit);
    recordSentAttempt(peer.m_vm.str(), *address, **connection);
    // The other VM may make all of the attempts that are left.
    recordOf(m_attempt).m_facts.m_possibleRuns = std::max(left, 1u);
    DecisionLine("relay", "sent to another VM")
        .text("request", m_head.m_id.str())
        .number("attempt", static_cast<int64_t>(m_attempt.m_number))
        .text("vm", peer.m_vm.str())
        .number("local_port", recordOf(m_attempt).m_localPort)
        .write();
    const AttemptResult end = exchangeWith(peer, **connection);
    m_attempt.m_connection = nullptr;
    if (end == AttemptResult::Answered || end == AttemptResult::NotRun)
        m_node.m_pool.release(*address, std::move(*connection));
    return end;
}

RelayRun::AttemptResult RelayRun::exchangeWith(const ForwardPeer &peer, HttpConnection &connection)
{
    const HttpRequest &request = m_exchange.request();
    const ForwardHead forward{ std::chrono::duration_cast<Millis>(remainingTime()),
                               recordOf(m_attempt).m_facts.m_possibleRuns, m_lastEvent };
    const HttpHeaders headers = m_node.m_dialect.m_writeForwardHeaders(request, forward);
    const EndpointRecord vm{ EndpointId(peer.m_vm.str()), {}, peer.m_address, peer.m_dataCentre };
    const Status sent =
        connection.send({ request.m_method, request.m_target, headers, {} }, request.m_body,
                        std::min<Duration>(remainingTime(), BodyTimeout));
    if (!sent)
        return failRead(connection, vm, sent.error());
    auto response = connection.readHeader(std::max<Duration>(remainingTime(), Millis(1)));
    if (!response)
        return failRead(connection, vm, response.error());
    const ResponseHead head = m_node.m_dialect.m_readResponseHead(*response);
    const bool ours = head.m_id == m_head.m_id;
    const bool refused = ours && !head.m_signed && promisesNotRun(response->m_status);
    recordReply(*response, refused ? EndpointReply::NotRun : EndpointReply::Partial, ours);
    if (!ours)
        return failAttempt(vm, FailureWeight::None, "the answer belongs to another request");
    if (!head.m_signed)
        return forwardPeerResponse(connection, vm, head, std::move(*response));
    if (isStream(response->m_status))
        return relayStream(connection, vm, head, *response);
    return relayWholeResponse(connection, vm, head, std::move(*response));
}

RelayRun::AttemptResult RelayRun::forwardPeerResponse(HttpConnection &connection,
                                                      const EndpointRecord &vm,
                                                      const ResponseHead &head,
                                                      HttpResponse response)
{
    auto body =
        connection.readWhole(std::min<Duration>(remainingTime(), BodyTimeout), MaxRefusalBytes);
    if (!body)
        return failRead(connection, vm, body.error());
    m_failureReason = fmt::format("refused by another VM with status {}", response.m_status);
    if (promisesNotRun(response.m_status))
        return AttemptResult::NotRun;
    // The client has got a part of a stream already, or a silent attempt may still answer.
    if (m_streaming || !m_standbys.empty())
        return AttemptResult::Failed;
    response.m_body = std::move(*body);
    response.m_headers = head.m_forwardedHeaders;
    forwardResponse(response);
    return AttemptResult::Answered;
}

} // namespace stackquay
