#include "policy/limit_shares.h"

#include <algorithm>
#include <cmath>

namespace stackquay {

namespace {

/// Selects the rate or the concurrency of an amount, so that the same code plans both.
using Dimension = double LimitAmount::*;
constexpr Dimension Dimensions[] = { &LimitAmount::m_tokensPerSecond, &LimitAmount::m_concurrency };

/// Rounds a concurrency down to whole requests; leaves a rate as it is.
double rounded(double value, Dimension dimension)
{
    return dimension == &LimitAmount::m_concurrency ? std::floor(value) : value;
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

double weight(const DataCentreShare &share, double idle, Dimension dimension)
{
    return share.m_removed ? 0 : std::max(share.m_demand.*dimension, 0.0) + idle;
}

std::vector<double> targetShares(const ShareSettings &settings, const ShareTable &table,
                                 Dimension dimension)
{
    const double total = table.m_total.*dimension;
    const double idle = total * settings.m_idleWeight / static_cast<double>(table.m_shares.size());
    double sum = 0;
    for (const DataCentreShare &share : table.m_shares)
        sum += weight(share, idle, dimension);
    std::vector<double> result;
    for (const DataCentreShare &share : table.m_shares) {
        const double exact = sum > 0 ? total * weight(share, idle, dimension) / sum : 0;
        result.push_back(rounded(exact, dimension));
    }
    return result;
}

bool anyNeedsMore(const ShareSettings &settings, const ShareTable &table, Dimension dimension)
{
    return std::any_of(table.m_shares.begin(), table.m_shares.end(),
                       [&](const DataCentreShare &share) {
                           return share.m_demand.*dimension
                                  > settings.m_raiseThreshold * (share.m_share.*dimension);
                       });
}

void lowerShares(const ShareSettings &settings, ShareTable &table,
                 const std::vector<double> &targets, Dimension dimension)
{
    const bool overTotal = boundOnShares(table).*dimension > table.m_total.*dimension;
    if (!overTotal && !anyNeedsMore(settings, table, dimension))
        return;
    const double minChange = overTotal ? 0 : settings.m_hysteresis * (table.m_total.*dimension);
    for (size_t i = 0; i < table.m_shares.size(); ++i) {
        double &share = table.m_shares[i].m_share.*dimension;
        if (share - targets[i] > minChange)
            share = targets[i];
    }
}

void raiseShares(const ShareSettings &settings, ShareTable &table,
                 const std::vector<double> &targets, Dimension dimension)
{
    const double free = table.m_total.*dimension - boundOnShares(table).*dimension;
    double missing = 0;
    for (size_t i = 0; i < table.m_shares.size(); ++i)
        missing += std::max(targets[i] - table.m_shares[i].m_share.*dimension, 0.0);
    if (missing <= 0 || free < settings.m_hysteresis * (table.m_total.*dimension))
        return;
    const double fraction = std::min(free / missing, 1.0);
    for (size_t i = 0; i < table.m_shares.size(); ++i) {
        DataCentreShare &entry = table.m_shares[i];
        const double raise =
            rounded(fraction * std::max(targets[i] - entry.m_share.*dimension, 0.0), dimension);
        // The total already counts a share up to m_maxInUse; only the excess uses free capacity.
        entry.m_share.*dimension += raise;
        entry.m_maxInUse.*dimension =
            std::max(entry.m_maxInUse.*dimension, entry.m_share.*dimension);
    }
}

/// Sets m_changedInVersion of each share that differs from @p before to the next version.
void markChanges(ShareTable &table, const ShareTable &before, uint64_t version)
{
    for (DataCentreShare &share : table.m_shares) {
        const DataCentreShare *old = findShare(before, share.m_dataCentre);
        if (old == nullptr || old->m_share != share.m_share)
            share.m_changedInVersion = version + 1;
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
    const double fraction = 1.0 / static_cast<double>(std::max<size_t>(dataCentres.size(), 1));
    LimitAmount share = total * fraction;
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
        sum = sum + componentMax(share.m_share, share.m_maxInUse);
    return sum;
}

std::optional<ShareTable> planShares(const ShareSettings &settings, const ShareTable &table,
                                     uint64_t version)
{
    if (table.m_shares.empty())
        return std::nullopt;
    ShareTable planned = table;
    for (const Dimension dimension : Dimensions) {
        const std::vector<double> targets = targetShares(settings, table, dimension);
        lowerShares(settings, planned, targets, dimension);
        raiseShares(settings, planned, targets, dimension);
    }
    markChanges(planned, table, version);
    return ifChanged(std::move(planned), table);
}

std::optional<ShareTable> acknowledgeShare(const ShareTable &table, const DataCentreId &dataCentre,
                                           uint64_t oldestAppliedVersion)
{
    ShareTable acknowledged = table;
    DataCentreShare *share = findIn(acknowledged.m_shares, dataCentre);
    if (share == nullptr || oldestAppliedVersion < share->m_changedInVersion)
        return std::nullopt;
    share->m_maxInUse = share->m_share;
    return ifChanged(std::move(acknowledged), table);
}

std::optional<ShareTable> reportDemand(const ShareSettings &settings, const ShareTable &table,
                                       const DataCentreId &dataCentre, const LimitAmount &demand)
{
    ShareTable reported = table;
    DataCentreShare *share = findIn(reported.m_shares, dataCentre);
    if (share == nullptr)
        return std::nullopt;
    const bool differs =
        std::any_of(std::begin(Dimensions), std::end(Dimensions), [&](Dimension dimension) {
            const double change = std::abs(demand.*dimension - share->m_demand.*dimension);
            return change > settings.m_hysteresis * (table.m_total.*dimension);
        });
    if (!differs)
        return std::nullopt;
    share->m_demand = demand;
    return reported;
}

std::optional<ShareTable> applyIntent(const ShareTable &table, const LimitAmount &total,
                                      const std::vector<DataCentreId> &dataCentres,
                                      uint64_t version)
{
    ShareTable updated = table;
    updated.m_total = total;
    const auto declared = [&](const DataCentreId &id) {
        return std::find(dataCentres.begin(), dataCentres.end(), id) != dataCentres.end();
    };
    for (DataCentreShare &share : updated.m_shares) {
        share.m_removed = !declared(share.m_dataCentre);
        if (!share.m_removed)
            continue;
        share.m_share = {};
        share.m_demand = {};
    }
    std::erase_if(updated.m_shares, [&](const DataCentreShare &share) {
        return share.m_removed && share.m_maxInUse == LimitAmount{};
    });
    for (const DataCentreId &id : dataCentres) {
        if (findShare(updated, id) == nullptr)
            updated.m_shares.push_back({ id, {}, {}, 0, {}, false });
    }
    markChanges(updated, table, version);
    return ifChanged(std::move(updated), table);
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
