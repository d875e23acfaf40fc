/// Tables over what runs now: nodes, requests, orders, leases and recent changes.
///
/// The rows are plain structs that the daemon fills in; times are ages at the moment of the query.
#pragma once

#include <string>
#include <vector>

#include "control/table.h"

namespace stackquay {

struct VmRow {
    VmId m_id;
    DataCentreId m_dataCentre;
    std::string m_state; ///< "live", "suspect", "leaving" or "dead".
    uint64_t m_revision = 0; ///< Of the intent in force there.
    int64_t m_requests = 0; ///< In progress.
    std::string m_address; ///< For callers.
    Millis m_age{ 0 }; ///< Since the node was last heard of.
};

struct RequestRow {
    RequestId m_id;
    VmId m_vm;
    CustomerId m_customer;
    std::string m_target; ///< Model or service.
    std::string m_state; ///< Of its chart.
    std::optional<EndpointId> m_endpoint;
    int64_t m_promptTokens = 0;
    int64_t m_priority = 0;
    Millis m_age{ 0 };
    Millis m_deadlineIn{ 0 };
};

struct OrderRow {
    OrderId m_id;
    EndpointId m_endpoint;
    std::string m_action;
    ModelId m_model;
    std::string m_version;
    std::string m_adapter;
    std::string m_state; ///< "planned", "waiting", "sent", "accepted" or "failed".
    uint64_t m_fence = 0;
    std::string m_reason;
    Millis m_age{ 0 };
};

struct LeaseRow {
    std::string m_name;
    DataCentreId m_dataCentre;
    VmId m_holder;
    uint64_t m_fence = 0;
    Millis m_expiresIn{ 0 };
};

struct ChangeRow {
    uint64_t m_revision = 0;
    std::string m_operator;
    std::string m_statement;
    ChangeId m_id;
    std::string m_at; ///< Wall time, ISO 8601.
};

/// The nodes and their requests, as one node knows them.
struct RuntimeState {
    std::vector<VmRow> m_vms;
    std::vector<RequestRow> m_requests;
    std::vector<std::string> m_missing; ///< Nodes that did not answer; answers name them.
};

Table vmTable(const std::vector<VmRow> &rows);
Table requestTable(const std::vector<RequestRow> &rows);
Table orderTable(const std::vector<OrderRow> &rows);
Table leaseTable(const std::vector<LeaseRow> &rows);
Table changeTable(const std::vector<ChangeRow> &rows);

/// Names of these tables.
std::vector<std::string> runtimeTableNames();

/// UTC in ISO 8601 with seconds, for people and programs.
std::string formatWallTime(WallTime time);

} // namespace stackquay
