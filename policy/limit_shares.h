/// The split of one customer's limit between data centres: an object in the store that is only
/// ever written conditionally.
///
/// A share is lowered first; only when its data centre has acknowledged that all its nodes apply
/// the lower share does the difference become free for others. A data centre that is cut off
/// acknowledges nothing and so keeps its share, and no other data centre gets any of it. Every
/// write holds that the sum of what data centres may use is within the limit, so a split never
/// exceeds it, whoever writes, and however old the tables are that data centres still apply.
#pragma once

#include <optional>
#include <vector>

#include "core/core.h"
#include "policy/limit_amount.h"

namespace stackquay {

struct ShareSettings {
    double m_idleWeight = 0.1; ///< Weight of a data centre without demand, as an equal part.
    /// Smallest change, as a fraction of the limit, that is worth a write.
    double m_hysteresis = 0.05;
    /// A data centre that uses more than this fraction of its share wants a larger one.
    double m_pressure = 0.9;
};

/// One data centre's entry.
struct DataCentreShare {
    DataCentreId m_dataCentre;
    LimitAmount m_share; ///< What it may use from when it has read this.
    LimitAmount m_inForce; ///< What it may still use, at most; never below m_share.
    uint64_t m_changedAt = 0; ///< Version of the table that changed m_share last.
    LimitAmount m_demand; ///< As the data centre last reported.
    bool m_leaving = false; ///< No longer declared; its share stays nothing.

    bool operator==(const DataCentreShare &) const = default;
    MSGPACK_DEFINE(m_dataCentre, m_share, m_inForce, m_changedAt, m_demand, m_leaving)
};

/// The value of the object.
struct ShareTable {
    CustomerId m_customer;
    LimitAmount m_total; ///< The customer's limit by the intent.
    std::vector<DataCentreShare> m_shares; ///< By data centre.

    bool operator==(const ShareTable &) const = default;
    MSGPACK_DEFINE(m_customer, m_total, m_shares)
};

/// A first table: equal shares, which nobody uses yet.
ShareTable makeShareTable(const CustomerId &customer, const LimitAmount &total,
                          const std::vector<DataCentreId> &dataCentres);

const DataCentreShare *findShare(const ShareTable &table, const DataCentreId &dataCentre);

/// Upper bound of what all data centres may use now, whichever table each applies.
LimitAmount boundOnShares(const ShareTable &table);

// Each of these returns the table to write on condition that the object still has the given
// version, or no value if nothing has to be written.

/// Moves shares towards demand: lowers what others want, raises into what is free.
std::optional<ShareTable> planShares(const ShareSettings &settings, const ShareTable &table,
                                     uint64_t version);

/// Says that every node of the data centre applies the table of @p lowestInForce or a later one.
std::optional<ShareTable> acknowledgeShare(const ShareTable &table, const DataCentreId &dataCentre,
                                           uint64_t lowestInForce);

/// Records a data centre's demand, if it differs by more than the hysteresis.
std::optional<ShareTable> reportDemand(const ShareSettings &settings, const ShareTable &table,
                                       const DataCentreId &dataCentre, const LimitAmount &demand);

/// Follows a change of intent: the total, and the data centres. A removed one's share is lowered to
/// nothing, and its entry goes once that is acknowledged.
std::optional<ShareTable> followIntent(const ShareTable &table, const LimitAmount &total,
                                       const std::vector<DataCentreId> &dataCentres,
                                       uint64_t version);

/// What one node applies: only ever a later table than before. Its first table must answer a
/// question that it asked after its start, of the store or of a peer that applies one: a table that
/// was on its way already may be older than what its data centre has acknowledged.
struct AppliedShare {
    uint64_t m_version = 0;
    LimitAmount m_share;
};

void applyShare(AppliedShare &applied, const ShareTable &table, uint64_t version,
                const DataCentreId &dataCentre);

} // namespace stackquay
