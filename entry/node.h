/// State that all threads of one daemon share.
#pragma once

#include "entry/admission_gate.h"
#include "entry/claim_gate.h"
#include "entry/endpoint_table.h"
#include "entry/entry_metrics.h"
#include "entry/request_chart.h"
#include "entry/routing_view.h"
#include "peers/peers.h"

namespace stackquay {

struct NodeSettings {
    VmId m_vm;
    std::string m_incarnation; ///< Random token, new at each start of the process.
    DataCentreId m_dataCentre;
    RoutingPolicy m_policy = RoutingPolicy::Steward;
    DeadlineSettings m_deadlines;
    /// After the first token, a stream that brings nothing for this long is resumed on a new
    /// connection.
    Millis m_streamIdleTimeout{ 10'000 };
    Millis m_connectTimeout{ 2'000 };
    /// Then the request is retried on another engine. It stays with a silent one until a retry is
    /// granted.
    uint32_t m_maxResumeAttempts = 2;
    DrainPlan m_drain; ///< Durations only; the start of the drain is in Node.
};

struct Node {
    Node(NodeSettings settings, RequestChart chart)
        : m_settings(std::move(settings))
        , m_requestChart(std::move(chart))
    { }

    /// Owner name "vm:incarnation" under which engines reserve memory for this process.
    std::string owner() const { return m_settings.m_vm.str() + ":" + m_settings.m_incarnation; }

    /// The drain settings with the start time, which is TimePoint{} unless the node drains.
    DrainPlan drainPlan() const
    {
        DrainPlan plan = m_settings.m_drain;
        plan.m_drainStartedAt = m_drainBegun;
        return plan;
    }

    NodeSettings m_settings;
    RequestChart m_requestChart;
    MetricsRegistry m_metrics;
    EntryMetrics m_entryMetrics{ m_metrics };
    RoutingViewHolder m_view;
    EndpointTable m_endpoints;
    AdmissionGate m_admission;
    ClaimGate m_claims;
    std::shared_ptr<PeerTraffic> m_peerTraffic = std::make_shared<PeerTraffic>();
    std::atomic<TimePoint> m_drainBegun{ TimePoint{} };
    std::atomic<bool> m_ending{
        false
    }; ///< Shutting down: no request starts, and running ones fail.
};

} // namespace stackquay
