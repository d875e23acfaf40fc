/// Forecasts the turns of the long prompts that wait in this VM's cell, and keeps the places of the
/// refused ones that will come back.
///
/// It learns from the messages about all requests of the cell: how fast the engines complete
/// prefill while prompts wait, and by how much turns come later than predicted. Active only for
/// services that forecast turns, see AdmissionPolicy.
#pragma once

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

    /// Forecasts the turn of @p request, which waits as @p key. @p side is the load of the long
    /// prompts' side.
    TurnOutlook outlook(const LoadKey &key, const EngineCosts &costs, const ModelRequest &request,
                        const SideLoad &side, TimePoint now);
    /// Fraction of their time that engines spend on prefill while prompts wait.
    double rateShare() const { return m_rate.share(); }

    /// Records that a prompt started to wait, at any VM; @p message is a Waiting message.
    void noteWaiting(const LoadMessage &message, TimePoint now);
    /// Records a placement at any VM.
    void notePlaced(const LoadKey &key, const AttemptLoad &load, TimePoint now);
    /// Records a first event at any VM. Call it before the ledger records the event.
    void noteFirstEvent(const LoadKey &key, TimePoint now);
    /// Records that a wait at any VM has ended.
    void noteEnded(const LoadKey &key, TimePoint now);

    /// The place of @p request, if its caller was told to come back; null: none.
    const ReturnPlace *findPlace(const Fingerprint &request, TimePoint now) const
    {
        return m_places.find(request, now);
    }
    bool hasPlaces() const { return m_places.size() > 0; }
    /// Whether a place is due, so that its request is ordered by its first arrival.
    static bool isDue(const ReturnPlace &place, TimePoint now);
    /// Drops the place of @p request here and at the other VMs.
    void takePlace(const Fingerprint &request);
    /// Decides what the caller of the refused @p request is told, and keeps a place for it if its
    /// turn is foreseen.
    ReturnAdvice refuse(ReturnQuery query, ReturnPlace request);
    void receivePlace(const LoadMessage &message, TimePoint now);
    /// This VM's places that are still to be announced again, for a VM that starts.
    std::vector<LoadMessage> placeMessages(TimePoint now);

private:
    /// A prompt that waits, at any VM.
    struct Wait {
        TimePoint m_since{};
        Duration m_expected{}; ///< Time after which it was expected to start.
        bool m_returned = false; ///< It came back to its place.
    };

    /// Computes m_side again if it is old. Returns whether a service forecasts turns.
    bool refreshSide(TimePoint now);
    /// Records the load of the long prompts' side. Returns the same.
    bool recordLoad(TimePoint now);
    /// Sends the places of this VM again that are halfway to their due time.
    void repeatPlaces(TimePoint now);
    LoadMessage placeMessage(const ReturnPlace &place, TimePoint now) const;

    RelayNode &m_node;
    CompletionRate m_rate;
    TurnError m_error;
    TurnError m_returnError;
    ReturnSchedule m_places;
    /// Places that this VM announced once, by the time of the second announcement.
    std::multimap<TimePoint, ReturnPlace> m_toRepeat;
    std::unordered_map<LoadKey, Wait, LoadKeyHash> m_waits;
    bool m_active = false; ///< A service forecasts turns.
    SideLoad m_side; ///< Load of the long prompts' side, as of m_sideAt.
    TimePoint m_sideAt{};
};

} // namespace stackquay
