/// What the control thread does for operators besides commands: the reconciler under its lease, the
/// burn report's history, and the answers to `why`, `show orders` and `show leases`.
#pragma once

#include "control/burn_http.h"
#include "control/command.h"
#include "control/reconciler.h"
#include "peers/peers.h"

namespace stackquay {

/// What a daemon lends it; all of it outlives the Operations.
struct OperationsContext {
    FiberThread &m_thread;
    ObjectApi &m_objects;
    HttpPool &m_pool;
    PeerServer &m_server;
    PeerClient &m_client;
    MetricsRegistry &m_metrics;
    VmId m_vm;
    DataCentreId m_dataCentre;
    std::string m_charts; ///< Folder of the chart files.
    std::function<std::shared_ptr<const Intent>()> m_intent; ///< Null before the first.
    std::function<MemberListPtr()> m_members;
};

/// An order as the lease holder tells other nodes of it.
struct OrderMessage {
    std::string m_id;
    std::string m_endpoint;
    std::string m_action;
    std::string m_model;
    std::string m_version;
    std::string m_adapter;
    std::string m_state;
    uint64_t m_fence = 0;
    std::string m_reason;
    int64_t m_ageMs = 0;

    MSGPACK_DEFINE(m_id, m_endpoint, m_action, m_model, m_version, m_adapter, m_state, m_fence,
                   m_reason, m_ageMs)
};

struct OrdersReply {
    bool m_holdsLease = false;
    std::vector<OrderMessage> m_orders;

    MSGPACK_DEFINE(m_holdsLease, m_orders)
};

struct OrdersRequest {
    using Reply = OrdersReply;
    static constexpr std::string_view RpcName = "orders";
    uint64_t m_version = 1;

    MSGPACK_DEFINE(m_version)
};

class Operations
{
public:
    /// Registers its calls at the peer server; before that listens.
    explicit Operations(OperationsContext context);
    ~Operations();
    Operations(const Operations &) = delete;
    Operations &operator=(const Operations &) = delete;

    /// Loads the lease's chart and starts the fibers. On the thread.
    Status start();
    /// Lets the lease go. On the thread.
    void leave();
    /// Sets m_orders and m_leases, and m_explain for endpoints and models.
    void bind(CommandEnvironment &environment);
    const ReportEnvironment &report() const { return m_report; }

private:
    struct Keeper;

    std::string leaseKey() const;
    bool isCandidate() const;
    std::optional<FencingNumber> fence() const;
    void followLease();
    void reconcile();
    void recordBurn();
    Result<Explanation> explain(const WhyStatement &why) const;
    /// The plan from the engines' present states, for nodes without the lease.
    ReconcilePlan planNow(const Intent &intent, const DataCentreId &dataCentre,
                          EngineReports &reports) const;
    OrdersReply ownOrders() const;
    std::vector<OrderRow> collectOrders() const;
    std::vector<LeaseRow> leases() const;
    BurnInput gatherBurn() const;

    OperationsContext m_context;
    std::optional<LeaseChart> m_chart;
    std::shared_ptr<Keeper> m_keeper; ///< While this VM is a candidate.
    bool m_leaving = false;
    ReconcilerEnvironment m_engines;
    std::unique_ptr<Reconciler> m_reconciler;
    BurnHistory m_burn;
    ReportEnvironment m_report;
};

} // namespace stackquay
