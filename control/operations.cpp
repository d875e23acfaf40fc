#include "control/operations.h"

#include <algorithm>

#include "control/engine_orders.h"
#include "control/explain.h"

namespace stackquay {

namespace {

constexpr const char *RoleKey = "reconciler";
constexpr size_t Candidates = 2; ///< VMs that ask for the lease; the others cost no reads.
constexpr Millis CandidatePeriod{ 1'000 };
constexpr Millis ReconcilePeriod{ 1'000 }; ///< While orders are open.
constexpr Seconds IdlePeriod{ 30 }; ///< While the engines report what is declared.
constexpr Millis PeerTimeout{ 1'000 };
constexpr const char *TtftHistogram = "stackquay_ttft_seconds";

OrderMessage toMessage(const OrderRow &row)
{
    return { row.m_id.str(), row.m_endpoint.str(), row.m_action, row.m_model.str(),
             row.m_version,  row.m_adapter,        row.m_state,  row.m_fence,
             row.m_reason,   row.m_age.count() };
}

OrderRow toRow(const OrderMessage &message)
{
    OrderRow row;
    row.m_id = OrderId(message.m_id);
    row.m_endpoint = EndpointId(message.m_endpoint);
    row.m_action = message.m_action;
    row.m_model = ModelId(message.m_model);
    row.m_version = message.m_version;
    row.m_adapter = message.m_adapter;
    row.m_state = message.m_state;
    row.m_fence = message.m_fence;
    row.m_reason = message.m_reason;
    row.m_age = Millis(message.m_ageMs);
    return row;
}

const Endpoint *findEndpoint(const Intent &intent, const EndpointId &id)
{
    for (const Endpoint &endpoint : intent.m_endpoints) {
        if (endpoint.m_id == id)
            return &endpoint;
    }
    return nullptr;
}

} // namespace

/// The lease and the fiber that keeps it, which may outlive the candidacy.
struct Operations::Keeper {
    Keeper(const OperationsContext &context, const LeaseChart &chart, LeaseSettings settings)
        : m_keeper(context.m_objects, context.m_thread.context(), chart, std::move(settings))
    { }

    LeaseKeeper m_keeper;
};

Operations::Operations(OperationsContext context)
    : m_context(std::move(context))
{
    bindEngines(m_engines, m_context.m_pool);
    m_engines.m_intent = m_context.m_intent;
    m_engines.m_fence = [this] { return fence(); };
    m_engines.m_now = [] { return Clock::now(); };
    m_reconciler = std::make_unique<Reconciler>(m_context.m_dataCentre, m_engines);
    m_report.m_intent = m_context.m_intent;
    m_report.m_gather = [this] { return gatherBurn(); };
    m_context.m_server.handle<OrdersRequest>(
        [this](const OrdersRequest &) -> Result<OrdersReply> { return ownOrders(); });
    m_context.m_server.handle<BurnWindowsRequest>(
        [this](const BurnWindowsRequest &) -> Result<BurnWindowsReply> {
            return BurnWindowsReply{ m_burn.windows() };
        });
}

Operations::~Operations() = default;

Status Operations::start()
{
    auto chart = loadLeaseChart(m_context.m_charts);
    if (!chart)
        return tl::unexpected(chart.error());
    m_chart.emplace(std::move(*chart));
    spawnFiber([this] { followLease(); });
    spawnFiber([this] { reconcile(); });
    spawnFiber([this] { recordBurn(); });
    return {};
}

void Operations::leave()
{
    m_leaving = true;
    if (m_keeper)
        m_keeper->m_keeper.release();
    m_keeper.reset();
}

std::string Operations::leaseKey() const
{
    return "lease/reconciler/" + m_context.m_dataCentre.str();
}

bool Operations::isCandidate() const
{
    const MemberListPtr members = m_context.m_members();
    if (m_leaving || !members || !m_context.m_intent())
        return false;
    const std::vector<VmInfo> holders = roleHolders(*members, RoleKey, Candidates);
    return std::any_of(holders.begin(), holders.end(),
                       [this](const VmInfo &vm) { return vm.m_id == m_context.m_vm; });
}

std::optional<FencingNumber> Operations::fence() const
{
    return m_keeper ? m_keeper->m_keeper.fencingNumber() : std::nullopt;
}

void Operations::followLease()
{
    do {
        const bool candidate = isCandidate();
        if (candidate && !m_keeper) {
            LeaseSettings settings;
            settings.m_key = leaseKey();
            settings.m_holder = m_context.m_vm.str();
            m_keeper = std::make_shared<Keeper>(m_context, *m_chart, settings);
            spawnFiber([keeper = m_keeper] { keeper->m_keeper.run(); });
        }
        if (!candidate && m_keeper) {
            m_keeper->m_keeper.release();
            m_keeper.reset();
        }
    } while (sleepFor(m_context.m_thread.context(), CandidatePeriod));
}

void Operations::reconcile()
{
    uint64_t revision = 0;
    bool held = false;
    TimePoint next{};
    do {
        const std::shared_ptr<const Intent> intent = m_context.m_intent();
        const bool changed = intent && intent->m_revision != revision;
        const ReconcilePlan &plan = m_reconciler->plan();
        const bool open = !plan.m_orders.empty() || plan.m_loadsInFlight > 0;
        const TimePoint now = Clock::now();
        if (!changed && !open && held == fence().has_value() && now < next)
            continue;
        m_reconciler->step();
        revision = intent ? intent->m_revision : 0;
        held = fence().has_value();
        next = now + IdlePeriod;
    } while (sleepFor(m_context.m_thread.context(), ReconcilePeriod));
}

void Operations::recordBurn()
{
    do {
        m_burn.record(Clock::now(), m_context.m_metrics.histograms(TtftHistogram));
    } while (sleepFor(m_context.m_thread.context(), burnWindows().front().m_step));
}

void Operations::bind(CommandEnvironment &environment)
{
    environment.m_explain = [this, before = environment.m_explain](const WhyStatement &why) {
        return why.m_subject == WhySubject::Request ? before(why) : explain(why);
    };
    environment.m_orders = [this] { return collectOrders(); };
    environment.m_leases = [this] { return leases(); };
}

ReconcilePlan Operations::planNow(const Intent &intent, const DataCentreId &dataCentre,
                                  EngineReports &reports) const
{
    const Reconciler reader(dataCentre, m_engines);
    reports = reader.readReports(intent);
    return planReconcile(intent, dataCentre, reports, {});
}

Result<Explanation> Operations::explain(const WhyStatement &why) const
{
    const std::shared_ptr<const Intent> intent = m_context.m_intent();
    if (!intent)
        return makeError(ErrorCode::Unavailable, "no intent is in force here yet");
    EngineReports reports;
    if (why.m_subject == WhySubject::Model) {
        const ReconcilePlan plan = planNow(*intent, why.m_dataCentre, reports);
        return explainModel(*intent, ModelId(why.m_name), why.m_dataCentre, plan);
    }
    const EndpointId id(why.m_name);
    const Endpoint *endpoint = findEndpoint(*intent, id);
    ReconcilePlan plan;
    if (endpoint)
        plan = planNow(*intent, endpoint->m_dataCentre, reports);
    return explainEndpoint(*intent, id, reports, plan);
}

OrdersReply Operations::ownOrders() const
{
    OrdersReply reply;
    reply.m_holdsLease = fence().has_value();
    if (!reply.m_holdsLease)
        return reply;
    for (const OrderRow &row : m_reconciler->orders())
        reply.m_orders.push_back(toMessage(row));
    return reply;
}

std::vector<OrderRow> Operations::collectOrders() const
{
    if (fence())
        return m_reconciler->orders();
    const MemberListPtr members = m_context.m_members();
    for (const VmInfo &vm : roleHolders(*members, RoleKey, Candidates)) {
        if (vm.m_id == m_context.m_vm)
            continue;
        const auto reply = m_context.m_client.call(vm.m_peer, OrdersRequest{}, PeerTimeout);
        if (!reply || !reply->m_holdsLease)
            continue;
        std::vector<OrderRow> rows;
        for (const OrderMessage &message : reply->m_orders)
            rows.push_back(toRow(message));
        return rows;
    }
    return {};
}

std::vector<LeaseRow> Operations::leases() const
{
    LeaseRow row;
    row.m_name = leaseKey();
    row.m_dataCentre = m_context.m_dataCentre;
    const auto object = m_context.m_objects.get(leaseKey());
    if (!object)
        return {};
    const auto record = parseLeaseRecord(object->m_value);
    if (!record)
        return {};
    row.m_holder = VmId(record->m_released ? "" : record->m_holder);
    row.m_fence = object->m_version;
    row.m_expiresIn = std::chrono::duration_cast<Millis>(record->m_duration);
    return { row };
}

BurnInput Operations::gatherBurn() const
{
    BurnInput input;
    input.m_scope = m_context.m_dataCentre.str();
    input.m_at = formatWallTime(std::chrono::system_clock::now());
    const MemberListPtr members = m_context.m_members();
    for (const VmInfo &vm : members->m_vms) {
        const bool self = vm.m_id == m_context.m_vm;
        const Result<BurnWindowsReply> reply =
            self ? BurnWindowsReply{ m_burn.windows() }
                 : m_context.m_client.call(vm.m_peer, BurnWindowsRequest{}, PeerTimeout);
        const bool merged = reply && mergeWindows(input.m_windows, reply->m_windows);
        (merged ? input.m_nodes : input.m_missing).push_back(vm.m_id.str());
    }
    return input;
}

} // namespace stackquay
