#include "policy/limit_shares.h"

#include <algorithm>
#include <cmath>

namespace stackquay {

namespace {

/// One of the two parts of an amount, so that both are planned by the same code.
using Part = double LimitAmount::*;
constexpr Part Parts[] = { &LimitAmount::m_tokensPerSecond, &LimitAmount::m_concurrency };

double rounded(double value, Part part)
{
    return part == &LimitAmount::m_concurrency ? std::floor(value) : value;
}

template<typename Shares>
auto findIn(Shares &shares, const DataCentreId &dataCentre) -> decltype(&shares.front())
{
    const auto found =
        std::find_if(shares.begin(), shares.end(), [&](const DataCentreShare &share) {
            return share.m_dataCentre == dataCentre;
        });
    return found == shares.end() ? nullptr : &*found;
}

double weight(const DataCentreShare &share, double idle, Part part)
{
    return share.m_leaving ? 0 : std::max(share.m_demand.*part, 0.0) + idle;
}

std::vector<double> targets(const ShareSettings &settings, const ShareTable &table, Part part)
{
    const double total = table.m_total.*part;
    const double idle = total * settings.m_idleWeight / static_cast<double>(table.m_shares.size());
    double sum = 0;
    for (const DataCentreShare &share : table.m_shares)
        sum += weight(share, idle, part);
    std::vector<double> result;
    for (const DataCentreShare &share : table.m_shares) {
        const double exact = sum > 0 ? total * weight(share, idle, part) / sum : 0;
        result.push_back(rounded(exact, part));
    }
    return result;
}

bool someoneWantsMore(const ShareSettings &settings, const ShareTable &table, Part part)
{
    return std::any_of(
        table.m_shares.begin(), table.m_shares.end(), [&](const DataCentreShare &share) {
            return share.m_demand.*part > settings.m_pressure * (share.m_share.*part);
        });
}

void lowerShares(const ShareSettings &settings, ShareTable &table,
                 const std::vector<double> &targets, Part part)
{
    const bool overTotal = boundOnShares(table).*part > table.m_total.*part;
    if (!overTotal && !someoneWantsMore(settings, table, part))
        return;
    const double smallest = overTotal ? 0 : settings.m_hysteresis * (table.m_total.*part);
    for (size_t i = 0; i < table.m_shares.size(); ++i) {
        double &share = table.m_shares[i].m_share.*part;
        if (share - targets[i] > smallest)
            share = targets[i];
    }
}

void raiseShares(const ShareSettings &settings, ShareTable &table,
                 const std::vector<double> &targets, Part part)
{
    const double free = table.m_total.*part - boundOnShares(table).*part;
    double missing = 0;
    for (size_t i = 0; i < table.m_shares.size(); ++i)
        missing += std::max(targets[i] - table.m_shares[i].m_share.*part, 0.0);
    if (missing <= 0 || free < settings.m_hysteresis * (table.m_total.*part))
        return;
    const double fraction = std::min(free / missing, 1.0);
    for (size_t i = 0; i < table.m_shares.size(); ++i) {
        DataCentreShare &entry = table.m_shares[i];
        const double raise =
            rounded(fraction * std::max(targets[i] - entry.m_share.*part, 0.0), part);
        // Up to m_inForce a share is counted already; all above it comes out of what is free.
        entry.m_share.*part += raise;
        entry.m_inForce.*part = std::max(entry.m_inForce.*part, entry.m_share.*part);
    }
}

/// Notes in which version each share that differs was changed.
void markChanges(ShareTable &table, const ShareTable &before, uint64_t version)
{
    for (DataCentreShare &share : table.m_shares) {
        const DataCentreShare *old = findShare(before, share.m_dataCentre);
        if (old == nullptr || old->m_share != share.m_share)
            share.m_changedAt = version + 1;
    }
}

std::optional<ShareTable> ifChanged(ShareTable changed, const ShareTable &before)
{
    if (changed == before)
        return std::nullopt;
    return changed;
}

} // namespace

ShareTable makeShareTable(const CustomerId &customer, const LimitAmount &total,
                          const std::vector<DataCentreId> &dataCentres)
{
    ShareTable table{ customer, total, {} };
    const double part = 1.0 / static_cast<double>(std::max<size_t>(dataCentres.size(), 1));
    LimitAmount share = total * part;
    share.m_concurrency = std::floor(share.m_concurrency);
    for (const DataCentreId &dataCentre : dataCentres)
        table.m_shares.push_back({ dataCentre, share, share, 1, {}, false });
    return table;
}

const DataCentreShare *findShare(const ShareTable &table, const DataCentreId &dataCentre)
{
    return findIn(table.m_shares, dataCentre);
}

LimitAmount boundOnShares(const ShareTable &table)
{
    LimitAmount sum;
    for (const DataCentreShare &share : table.m_shares)
        sum = sum + largest(share.m_share, share.m_inForce);
    return sum;
}

std::optional<ShareTable> planShares(const ShareSettings &settings, const ShareTable &table,
                                     uint64_t version)
{
    if (table.m_shares.empty())
        return std::nullopt;
    ShareTable planned = table;
    for (const Part part : Parts) {
        const std::vector<double> wanted = targets(settings, table, part);
        lowerShares(settings, planned, wanted, part);
        raiseShares(settings, planned, wanted, part);
    }
    markChanges(planned, table, version);
    return ifChanged(std::move(planned), table);
}

std::optional<ShareTable> acknowledgeShare(const ShareTable &table, const DataCentreId &dataCentre,
                                           uint64_t lowestInForce)
{
    ShareTable acknowledged = table;
    DataCentreShare *share = findIn(acknowledged.m_shares, dataCentre);
    if (share == nullptr || lowestInForce < share->m_changedAt)
        return std::nullopt;
    share->m_inForce = share->m_share;
    return ifChanged(std::move(acknowledged), table);
}

std::optional<ShareTable> reportDemand(const ShareSettings &settings, const ShareTable &table,
                                       const DataCentreId &dataCentre, const LimitAmount &demand)
{
    ShareTable reported = table;
    DataCentreShare *share = findIn(reported.m_shares, dataCentre);
    if (share == nullptr)
        return std::nullopt;
    const bool differs = std::any_of(std::begin(Parts), std::end(Parts), [&](Part part) {
        const double change = std::abs(demand.*part - share->m_demand.*part);
        return change > settings.m_hysteresis * (table.m_total.*part);
    });
    if (!differs)
        return std::nullopt;
    share->m_demand = demand;
    return reported;
}

std::optional<ShareTable> followIntent(const ShareTable &table, const LimitAmount &total,
                                       const std::vector<DataCentreId> &dataCentres,
                                       uint64_t version)
{
    ShareTable followed = table;
    followed.m_total = total;
    const auto declared = [&](const DataCentreId &id) {
        return std::find(dataCentres.begin(), dataCentres.end(), id) != dataCentres.end();
    };
    for (DataCentreShare &share : followed.m_shares) {
        share.m_leaving = !declared(share.m_dataCentre);
        if (!share.m_leaving)
            continue;
        share.m_share = {};
        share.m_demand = {};
    }
    std::erase_if(followed.m_shares, [&](const DataCentreShare &share) {
        return share.m_leaving && share.m_inForce == LimitAmount{};
    });
    for (const DataCentreId &id : dataCentres) {
        if (findShare(followed, id) == nullptr)
            followed.m_shares.push_back({ id, {}, {}, 0, {}, false });
    }
    markChanges(followed, table, version);
    return ifChanged(std::move(followed), table);
}

void applyShare(AppliedShare &applied, const ShareTable &table, uint64_t version,
                const DataCentreId &dataCentre)
{
    if (version <= applied.m_version)
        return;
    const DataCentreShare *share = findShare(table, dataCentre);
    applied.m_version = version;
    applied.m_share = share == nullptr ? LimitAmount{} : share->m_share;
}

} // namespace stackquay
