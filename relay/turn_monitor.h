/// Forecasts the turns of the model requests that wait in this VM's cell, and keeps the places of
/// the refused ones that will come back.
///
/// It learns from the messages about all requests of the cell: at what rate the engines take work
/// from a queue, and by how much turns come later than predicted.
#pragma once

#include <array>
#include <map>
#include <unordered_map>

#include "relay/load_exchange.h"
#include "relay/relay_view.h"

namespace stackquay {

struct RelayNode;

/// Used on the traffic thread only.
class TurnMonitor
{
public:
    explicit TurnMonitor(RelayNode &node)
        : m_node(node)
    { }

    /// Predicted time until the turn of @p request, which waits as @p key. @p side is the load of
    /// the engines that serve its kind of stream.
    Duration predictTurn(const LoadKey &key, const EngineCosts &costs, const ModelRequest &request,
                         const SideLoad &side, TimePoint now);
    /// By when a turn that is predicted to come after @p turn comes at the latest.
    Duration latestTurn(Duration turn, bool strict) const
    {
        return m_sides.at(strict).m_error.latest(turn);
    }
    /// See StartRate::share().
    double rateShare(bool strict) const { return m_sides.at(strict).m_rate.share(); }

    /// Records that a request started to wait, at any VM; @p message is a Waiting message.
    void noteWaiting(const LoadMessage &message, TimePoint now);
    /// Records a placement at any VM.
    void notePlaced(const LoadKey &key, TimePoint now);
    /// Records that a wait at any VM has ended.
    void noteEnded(const LoadKey &key, TimePoint now);

    /// The place of @p request, if its caller was told to come back; null: none.
    const ReturnPlace *findPlace(const Fingerprint &request, bool strict, TimePoint now) const
    {
        return m_sides.at(strict).m_places.find(request, now);
    }
    bool hasPlaces(bool strict) const { return m_sides.at(strict).m_places.size() > 0; }
    /// Whether a place is due, so that its request is ordered by its first arrival.
    static bool isDue(const ReturnPlace &place, TimePoint now);
    /// Drops the place of @p request here and at the other VMs.
    void takePlace(const Fingerprint &request, bool strict);
    /// Decides what the caller of the refused @p request is told, and keeps a place for it if its
    /// turn is foreseen.
    ReturnAdvice refuse(ReturnQuery query, ReturnPlace request, bool strict);
    void receivePlace(const LoadMessage &message, TimePoint now);
    /// This VM's places that are still to be announced again, for a VM that starts.
    std::vector<LoadMessage> placeMessages(TimePoint now);

private:
    /// A request that waits, at any VM.
    struct Wait {
        bool m_strict = false;
        TimePoint m_since{};
        TimePoint m_expiresAt{}; ///< It is refused by then if its end was not heard of.
        Duration m_expected{}; ///< Time after which it was expected to start.
        double m_workMs = 0; ///< See QueuedRequest.
    };

    /// The requests of one kind of stream.
    struct Side {
        StartRate m_rate;
        TurnError m_error;
        ReturnSchedule m_places;
        SideLoad m_load; ///< As of m_loadAt.
        uint32_t m_waiting = 0; ///< Number of its entries in m_waits.
    };

    /// A place that this VM announced once.
    struct AnnouncedPlace {
        ReturnPlace m_place;
        bool m_strict = false;
    };

    /// Computes the loads of both sides again, and drops expired waits, if they are old. Returns
    /// whether there is a service with engines.
    bool refresh(TimePoint now);
    /// Records the present load of a side.
    void recordLoad(bool strict, TimePoint now);
    void dropExpiredWaits(TimePoint now);
    /// Sends the places of this VM again that are halfway to their due time.
    void repeatPlaces(TimePoint now);
    LoadMessage placeMessage(const AnnouncedPlace &announced, TimePoint now) const;

    RelayNode &m_node;
    std::array<Side, 2> m_sides; ///< Indexed by whether the stream is strict.
    /// Places that this VM announced once, by the time of the second announcement.
    std::multimap<TimePoint, AnnouncedPlace> m_toRepeat;
    std::unordered_map<LoadKey, Wait, LoadKeyHash> m_waits;
    std::optional<EngineCosts> m_costs; ///< Of the service with engines; nothing: there is none.
    TimePoint m_loadAt{};
};

} // namespace stackquay
