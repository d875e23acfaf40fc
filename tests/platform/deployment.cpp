#include "deployment.h"

#include <fmt/format.h>

#include "tests/support/raw_exchange.h"

namespace stackquay::platform {

namespace {

constexpr Millis PollPeriod{ 5 };

constexpr const char *Services = R"("services":[
    {"name":"plain","maxConns":100},
    {"name":"model","maxConns":100,"engine":{"slots":8,"kvCapacity":100000,"stride":10,
     "step_ms":0.1,"per_seq_ms":0.001,"context_per_k":0.001,"read_per_s":1000000.0,
     "pairs_per_m":0.01,"chunk":2048,"usual":{"prompt":5000,"answer":100},"hopMs":0.01}},
    {"name":"heavy","maxConns":100,"engine":{"slots":8,"kvCapacity":100000,"stride":10,
     "step_ms":20.0,"per_seq_ms":0.001,"context_per_k":0.001,"read_per_s":1000000.0,
     "pairs_per_m":0.01,"chunk":2048,"usual":{"prompt":5000,"answer":100},"hopMs":0.01}}])";

std::string route(const char *name, const char *kind, const char *service, const char *more)
{
    return fmt::format(
        R"({{"name":"{0}","host":"host.example","pathPrefix":"/{0}/","kind":"{1}","timeoutMs":2500,)"
        R"("aimMs":200,"maxAttempts":2,"priority":1,"service":"{2}"{3}}})",
        name, kind, service, more);
}

} // namespace

bool eventually(const std::function<bool()> &condition, Duration timeout)
{
    const TimePoint until = Clock::now() + timeout;
    while (!condition()) {
        if (Clock::now() >= until)
            return false;
        std::this_thread::sleep_for(PollPeriod);
    }
    return true;
}

std::string eventsText(uint64_t first, uint64_t last)
{
    std::string text;
    for (uint64_t id = first; id <= last; ++id)
        text += fmt::format("id: {}\ndata: tokens {}\n\n", id, id);
    return text;
}

ClientRequest streamRequest(const std::string &path, uint64_t promptTokens)
{
    ClientRequest request;
    request.m_method = "POST";
    request.m_path = path;
    request.m_body = "prompt";
    request.m_promptTokens = promptTokens;
    return request;
}

ClientRequest unsafeRequest()
{
    ClientRequest request;
    request.m_method = "POST";
    request.m_path = "/unsafe/x?y=1";
    request.m_body = "entry";
    return request;
}

size_t Deployment::runsOf(const std::string &requestId) const
{
    size_t runs = 0;
    for (const auto &worker : m_workers) {
        for (const WorkerRun &run : (**worker).runs())
            runs += run.m_requestId == requestId ? 1 : 0;
    }
    return runs;
}

size_t Deployment::totalRuns() const
{
    size_t runs = 0;
    for (const auto &worker : m_workers)
        runs += (**worker).runs().size();
    return runs;
}

Deployment::Deployment()
{
    // Tests of refusals and repeats are few requests: the slack alone has to pay for them.
    constexpr double Slack = 1'000;
    m_bounds.m_retrySlack = Slack;
    m_bounds.m_grace = Seconds(5);
    m_clients.start();
}

Deployment::~Deployment()
{
    m_clients.stop();
    m_clients.join();
    m_daemons.clear();
}

void Deployment::declare(uint64_t version, const std::string &extraRoutes, const std::string &keys)
{
    const std::string routes =
        route("safe", "safe", "plain", "") + "," + route("unsafe", "unsafe", "plain", "") + ","
        + route("public", "safe", "plain", R"(,"public":true)") + ","
        + route("stream", "stream", "model", R"(,"resumable":true,"gapAimMs":100)") + ","
        + route("once", "stream", "model", R"(,"gapAimMs":100)") + ","
        + route("long", "stream", "model", R"(,"resumable":true,"gapAimMs":1000)") + extraRoutes;
    m_store->put("config", "main",
                 fmt::format(R"({{"version":{},"routes":[{}],{},"limits":{{"maxHeaderBytes":16384,)"
                             R"("maxBodyBytes":{},"headerTimeoutMs":3000,"idleTimeoutMs":5000}},)"
                             R"("tenants":[{{"name":"one","apiKeys":{},"priority":2}}]}})",
                             version, routes, Services, m_maxBodyBytes, keys));
}

HostedWorker &Deployment::addWorker(const std::string &service)
{
    m_workers.push_back(
        std::make_unique<HostedWorker>(fmt::format("worker-{}", m_workers.size() + 1)));
    describe(*m_workers.back(), service);
    return *m_workers.back();
}

namespace {

/// What an endpoint writes of itself; @p more are further fields, each after a comma.
std::string entryText(const std::string &service, const Address &address, const std::string &state,
                      const std::string &more = "", uint32_t slots = 8)
{
    return fmt::format(R"({{"service":"{}","address":"{}","zone":"here","version":"v1",)"
                       R"("slots":{},"state":"{}","coldLeftMs":0,"seq":1{}}})",
                       service, toString(address), slots, state, more);
}

} // namespace

void Deployment::describe(const HostedWorker &worker, const std::string &service,
                          const std::string &state, std::optional<Address> address, uint32_t slots)
{
    auto &hosted = const_cast<HostedWorker &>(worker);
    m_store->put("servers", hosted->id(),
                 entryText(service, address.value_or(worker.address()), state, "", slots));
}

void Deployment::describeProcess(const HostedWorker &worker, const std::string &service,
                                 uint64_t bornMs)
{
    auto &hosted = const_cast<HostedWorker &>(worker);
    m_store->put(
        "servers", hosted->id(),
        entryText(service, worker.address(), "ready", fmt::format(R"(,"born":{})", bornMs)));
}

RelayDaemon &Deployment::addDaemon(std::optional<Address> store)
{
    RelaySettings settings;
    settings.m_vm = VmId(fmt::format("vm-{}", m_daemons.size() + 1));
    settings.m_dataCentre = DataCentreId(m_dataCentre);
    settings.m_store = store.value_or(m_store.address());
    settings.m_bounds = m_bounds;
    settings.m_connections = m_connections;
    settings.m_millicores = m_millicores;
    auto daemon = RelayDaemon::start(
        settings, { relayDialect(), kindDialect(), m_source ? *m_source : relaySource() });
    if (!daemon) {
        log(LogPart::Main).critical("Cannot start. error={}", daemon.error().m_message);
        std::abort();
    }
    m_daemons.push_back(std::move(*daemon));
    return *m_daemons.back();
}

bool Deployment::awaitReady()
{
    return eventually([this] {
        for (size_t i = 0; i < m_daemons.size(); ++i) {
            const RelayViewPtr view = m_daemons[i]->node().m_view.load();
            if (readyStatus(i) != 200 || !view->complete() || !view->m_proof.known()
                || view->m_directory->m_endpoints.size() < m_workers.size())
                return false;
        }
        return true;
    });
}

bool Deployment::awaitPeers()
{
    return eventually([this] {
        return std::all_of(m_daemons.begin(), m_daemons.end(), [this](const auto &daemon) {
            return daemon->node().m_view.load()->m_vms == m_daemons.size();
        });
    });
}

std::future<std::string> Deployment::beginRaw(const std::string &bytes, size_t daemon)
{
    return beginRawExchange(m_clients, m_daemons[daemon]->clientsAddress(), bytes);
}

unsigned Deployment::readyStatus(size_t daemon)
{
    auto status = std::make_shared<std::promise<unsigned>>();
    m_clients.post([this, status, address = m_daemons[daemon]->readyAddress()] {
        HttpPool pool(m_clients.context());
        const auto answer = pool.call(address, { "GET", "/ready", {}, "" });
        status->set_value(answer ? answer->m_status : 0);
    });
    return status->get_future().get();
}

size_t Deployment::poolSize(const std::string &service, size_t daemon)
{
    const RelayViewPtr view = m_daemons[daemon]->node().m_view.load();
    const auto *pool = poolOf(*view, ServiceId(service));
    return pool ? pool->size() : 0;
}

ClientAnswer Deployment::call(const ClientRequest &request, size_t daemon)
{
    return begin(request, daemon).get();
}

std::future<ClientAnswer> Deployment::begin(const ClientRequest &request, size_t daemon)
{
    auto done = std::make_shared<std::promise<ClientAnswer>>();
    HttpRequest message{ request.m_method, request.m_path, request.m_headers, request.m_body };
    message.m_headers.push_back({ "Host", "host.example" });
    message.m_headers.push_back({ "X-Request-Id", request.m_id });
    message.m_headers.push_back({ "X-Deadline-Ms", std::to_string(request.m_deadline.count()) });
    if (!request.m_key.empty())
        message.m_headers.push_back({ "Api-Key", request.m_key });
    if (request.m_promptTokens > 0) {
        message.m_headers.push_back({ "X-Model", "m" });
        message.m_headers.push_back(
            { "X-Token-Counts", fmt::format("{},200", request.m_promptTokens) });
    }
    const Address address = request.m_via.value_or(m_daemons[daemon]->clientsAddress());
    m_clients.post([this, done, message, request, address] {
        ClientAnswer answer;
        HttpConnection connection(m_clients.context());
        constexpr Duration Patience = Seconds(6);
        if (request.m_leaveAfter > Millis(0)) {
            spawnFiber([this, &connection, after = request.m_leaveAfter] {
                if (sleepFor(m_clients.context(), after))
                    connection.cancel();
            });
        }
        const bool open = connection.connect(address, Patience)
                          && (request.m_sendAfter == Millis(0)
                              || sleepFor(m_clients.context(), request.m_sendAfter));
        const TimePoint sentAt = Clock::now();
        if (open && connection.send(message, Patience)) {
            const auto head = connection.readHeader(Patience);
            if (head) {
                answer.m_status = head->m_status;
                answer.m_headers = head->m_headers;
                std::string piece;
                for (;;) {
                    const Status read = connection.readBody(piece, Patience);
                    if (!read)
                        break;
                    if (piece.empty()) {
                        answer.m_whole = true;
                        break;
                    }
                    answer.m_bodyBytes += piece.size();
                    if (request.m_keepBody)
                        answer.m_body += piece;
                    if (request.m_readPause > Millis(0)
                        && !sleepFor(m_clients.context(), request.m_readPause))
                        break;
                }
            }
        }
        answer.m_took = Clock::now() - sentAt;
        if (request.m_leaveAfter > Millis(0)
            && !sleepFor(m_clients.context(), request.m_leaveAfter))
            return;
        done->set_value(answer);
    });
    return done->get_future();
}

} // namespace stackquay::platform
