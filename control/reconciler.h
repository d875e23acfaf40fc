/// Brings the engines of a data centre to what is declared, order by order.
///
/// Level-triggered: each step reads every engine's state back, plans anew and sends what is due. An
/// order keeps its id while its fate is open, so that an engine carries it out once; an order that
/// an engine accepted and whose effect is gone again gets a new id. Engines that ignore fencing
/// numbers are thereby corrected after a late order of an earlier holder.
#pragma once

#include <functional>
#include <memory>

#include "control/runtime_tables.h"
#include "policy/policy.h"
#include "policy/reconcile.h"
#include "store/store.h"

namespace stackquay {

/// An order as it goes to an engine.
struct EngineOrder {
    OrderId m_id;
    FencingNumber m_fence = 0;
    OrderKey m_key;
};

/// What the reconciler acts on; all calls are made in its fiber and may block it.
struct ReconcilerEnvironment {
    std::function<std::shared_ptr<const Intent>()> m_intent; ///< Null before the first.
    /// None while another VM holds the lease.
    std::function<std::optional<FencingNumber>()> m_fence;
    std::function<Result<EngineReport>(const Endpoint &)> m_readState;
    /// Conflict: the fencing number is old. Other errors: not carried out, or unknown.
    std::function<Status(const Endpoint &, const EngineOrder &)> m_send;
    std::function<TimePoint()> m_now;
};

/// What is known of an order that was sent.
struct OrderProgress {
    OrderId m_id;
    uint32_t m_tries = 0; ///< Ids used for the same key.
    bool m_accepted = false;
    bool m_mayRun = false; ///< A try was accepted, or its answer was lost.
    TimePoint m_firstSent{};
    TimePoint m_lastSent{};
    FencingNumber m_fence = 0;
    std::string m_error; ///< Of the last try; empty if it was accepted.
};

class Reconciler
{
public:
    Reconciler(DataCentreId dataCentre, ReconcilerEnvironment environment);

    /// One round over all engines. Does nothing without the lease.
    void step();

    /// The orders of the last round.
    std::vector<OrderRow> orders() const;
    /// The plan of the last round; empty when another VM holds the lease.
    const ReconcilePlan &plan() const { return m_plan; }
    bool holdsLease() const { return m_environment.m_fence().has_value(); }
    /// Reads the state of every engine of the data centre.
    EngineReports readReports(const Intent &intent) const;

private:
    void forgetFinished();
    std::vector<OrderKey> inFlight(const EngineReports &reports) const;
    void send(const Intent &intent, const PlannedOrder &order);
    OrderProgress &progressFor(const OrderKey &key);

    DataCentreId m_dataCentre;
    ReconcilerEnvironment m_environment;
    ReconcilePlan m_plan;
    std::map<OrderKey, OrderProgress> m_sent;
};

} // namespace stackquay
