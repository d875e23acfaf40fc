#include "control/runtime_tables.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace stackquay {

namespace {

Column text(const char *name)
{
    return { name, CellType::Text };
}

Column number(const char *name)
{
    return { name, CellType::Number };
}

Cell count(uint64_t value)
{
    return static_cast<int64_t>(value);
}

Cell millis(Millis value)
{
    return static_cast<int64_t>(value.count());
}

/// An empty text is no value.
Cell textOrNone(const std::string &value)
{
    return value.empty() ? Cell() : Cell(value);
}

} // namespace

Table vmTable(const std::vector<VmRow> &rows)
{
    Table table{ "vms",
                 { text("name"), text("data_centre"), text("state"), number("revision"),
                   number("requests"), text("address"), number("age_ms") },
                 {} };
    for (const VmRow &row : rows)
        table.m_rows.push_back({ row.m_id.str(), row.m_dataCentre.str(), row.m_state,
                                 count(row.m_revision), row.m_requests, textOrNone(row.m_address),
                                 millis(row.m_age) });
    return table;
}

Table requestTable(const std::vector<RequestRow> &rows)
{
    Table table{ "requests",
                 { text("id"), text("vm"), text("customer"), text("target"), text("state"),
                   text("endpoint"), number("prompt_tokens"), number("priority"), number("age_ms"),
                   number("deadline_in_ms") },
                 {} };
    for (const RequestRow &row : rows)
        table.m_rows.push_back({ row.m_id.str(), row.m_vm.str(), row.m_customer.str(), row.m_target,
                                 row.m_state, row.m_endpoint ? Cell(row.m_endpoint->str()) : Cell(),
                                 row.m_promptTokens, row.m_priority, millis(row.m_age),
                                 millis(row.m_deadlineIn) });
    return table;
}

Table orderTable(const std::vector<OrderRow> &rows)
{
    Table table{ "orders",
                 { text("id"), text("endpoint"), text("action"), text("model"), text("version"),
                   text("adapter"), text("state"), number("fence"), text("reason"),
                   number("age_ms") },
                 {} };
    for (const OrderRow &row : rows)
        table.m_rows.push_back({ row.m_id.str(), row.m_endpoint.str(), row.m_action,
                                 textOrNone(row.m_model.str()), textOrNone(row.m_version),
                                 textOrNone(row.m_adapter), row.m_state, count(row.m_fence),
                                 textOrNone(row.m_reason), millis(row.m_age) });
    return table;
}

Table leaseTable(const std::vector<LeaseRow> &rows)
{
    Table table{ "leases",
                 { text("name"), text("data_centre"), text("holder"), number("fence"),
                   number("expires_in_ms") },
                 {} };
    for (const LeaseRow &row : rows)
        table.m_rows.push_back({ row.m_name, row.m_dataCentre.str(), textOrNone(row.m_holder.str()),
                                 count(row.m_fence), millis(row.m_expiresIn) });
    return table;
}

Table changeTable(const std::vector<ChangeRow> &rows)
{
    Table table{ "changes",
                 { number("revision"), text("operator"), text("statement"), text("id"),
                   text("at") },
                 {} };
    for (const ChangeRow &row : rows)
        table.m_rows.push_back(
            { count(row.m_revision), row.m_operator, row.m_statement, row.m_id.str(), row.m_at });
    return table;
}

std::vector<std::string> runtimeTableNames()
{
    return { "vms", "requests", "orders", "leases", "changes" };
}

std::string formatWallTime(WallTime time)
{
    const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
    return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(seconds));
}

} // namespace stackquay
