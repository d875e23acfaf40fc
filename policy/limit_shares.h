/// Splits one customer's limit between data centres. The split is an object in the store and is
/// changed by conditional writes only.
///
/// To move a part of the limit, a write first lowers a share. The difference becomes available to
/// other data centres only after the data centre has acknowledged that all its nodes apply the
/// lower share. A disconnected data centre acknowledges nothing, so it keeps its share and no other
/// data centre gets any of it. Every write keeps the sum of what data centres may use within the
/// limit, so the limit holds whichever VM writes and however old the tables are that data centres
/// still apply.
#pragma once

#include <optional>
#include <vector>

#include "core/core.h"
#include "policy/limit_amount.h"

namespace stackquay {

struct ShareSettings {
    /// Weight of a data centre without demand, as a fraction of an equal share of the limit.
    double m_idleWeight = 0.1;
    /// Smallest change that causes a write, as a fraction of the limit.
    double m_hysteresis = 0.05;
    /// Shares are redistributed when the demand of a data centre exceeds this fraction of its
    /// share.
    double m_raiseThreshold = 0.9;
};

/// One data centre's entry.
struct DataCentreShare {
    DataCentreId m_dataCentre;
    LimitAmount m_share; ///< What its nodes may use once they apply this table.
    LimitAmount m_maxInUse; ///< Upper bound of what its nodes may still use; at least m_share.
    uint64_t m_changedInVersion = 0; ///< Version of the table that last changed m_share.
    LimitAmount m_demand; ///< As last reported by the data centre.
    bool m_removed = false; ///< No longer declared in the intent; its share is zero.

    bool operator==(const DataCentreShare &) const = default;
    MSGPACK_DEFINE(m_dataCentre, m_share, m_maxInUse, m_changedInVersion, m_demand, m_removed)
};

/// The value of the object in the store.
struct ShareTable {
    CustomerId m_customer;
    LimitAmount m_total; ///< The customer's limit as declared in the intent.
    std::vector<DataCentreShare> m_shares; ///< One entry for each data centre.

    bool operator==(const ShareTable &) const = default;
    MSGPACK_DEFINE(m_customer, m_total, m_shares)
};

/// Makes the first table of a customer, with equal shares that no node applies yet.
ShareTable makeShareTable(const CustomerId &customer, const LimitAmount &total,
                          const std::vector<DataCentreId> &dataCentres);

/// The entry of the data centre; null if it has none.
const DataCentreShare *findShare(const ShareTable &table, const DataCentreId &dataCentre);

/// Upper bound of what all data centres together may use, whichever table each of them applies.
LimitAmount boundOnShares(const ShareTable &table);

// Each of the next four functions takes the table as read from the store and returns the table to
// write on condition that the stored version is unchanged, or no value if no write is needed.
// `version` is the version of the table that was read.

/// Moves shares towards demand: lowers shares above their target if another data centre needs more,
/// and raises shares below their target as far as the limit has free capacity.
std::optional<ShareTable> planShares(const ShareSettings &settings, const ShareTable &table,
                                     uint64_t version);

/// Records that every node of the data centre applies the table of @p oldestAppliedVersion or a
/// later one.
std::optional<ShareTable> acknowledgeShare(const ShareTable &table, const DataCentreId &dataCentre,
                                           uint64_t oldestAppliedVersion);

/// Records the demand of a data centre if it differs from the last one by more than the hysteresis.
std::optional<ShareTable> reportDemand(const ShareSettings &settings, const ShareTable &table,
                                       const DataCentreId &dataCentre, const LimitAmount &demand);

/// Applies the total and the data centres that the intent declares. The share of a removed data
/// centre becomes zero, and its entry is erased after it has acknowledged that.
std::optional<ShareTable> applyIntent(const ShareTable &table, const LimitAmount &total,
                                      const std::vector<DataCentreId> &dataCentres,
                                      uint64_t version);

/// The share that one node applies. Its first table must be the answer to a request that the node
/// made after its start, to the store or to a peer that applies a table: a table that was already
/// in transit may be older than the one its data centre has acknowledged.
struct AppliedShare {
    uint64_t m_version = 0;
    LimitAmount m_share;
};

/// Applies the data centre's share of @p table unless the table is older than the one applied
/// already, or the same. The share is zero if the table has no entry for the data centre.
void applyShare(AppliedShare &applied, const ShareTable &table, uint64_t version,
                const DataCentreId &dataCentre);

} // namespace stackquay
