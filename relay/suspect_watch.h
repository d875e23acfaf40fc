/// Finds out which requests end the endpoints that run them, and tells all VMs.
///
/// An end is told at once to the VMs of the cell, and by those that saw it and those on duty to
/// some VMs of each other cell, which tell theirs: 1 datagram to each VM of the cell and 2 to each
/// other cell for an end, and nothing while no endpoint ends. A VM that is new hears all suspects
/// with what is in flight. What is condemned also stands in the store (relay/condemned_record.h).
#pragma once

#include <functional>
#include <vector>

#include "relay/end_check.h"
#include "relay/load_exchange.h"

namespace stackquay {

/// How the other VMs are reached.
struct SuspectHooks {
    std::function<CellView()> m_cell;
    std::function<bool()> m_onDuty; ///< Whether it passes news of the cell on to others.
    std::function<void(const LoadMessage &message)> m_tellCell;
    std::function<void(const LoadMessage &message)> m_tellOtherCells;
    /// What is condemned changed; @p seen: this VM itself saw the end that condemned.
    std::function<void(const std::vector<SuspectNews> &condemned, bool seen)> m_condemned;
};

/// Used on the traffic thread only.
class SuspectWatch
{
public:
    /// @p thread must be stopped before this is destroyed.
    SuspectWatch(FiberThread &thread, SuspectHooks hooks);
    ~SuspectWatch();
    SuspectWatch(const SuspectWatch &) = delete;
    SuspectWatch &operator=(const SuspectWatch &) = delete;

    bool empty() const;
    /// Whether a request of this outline may be a suspect; else it needs no name.
    bool mayKnow(uint64_t outline) const;
    /// The answer of @p endpoints to the request broke off. Returns whether the process of one of
    /// them has ended, which makes the request a suspect. Blocks the fiber for a connection's time,
    /// and after an end for some ms more, so that suspects of one end see each other's places.
    bool noteBroken(const std::vector<EndpointRecord> &endpoints, const Fingerprint &print);
    /// The request was answered whole.
    void noteCompleted(const Fingerprint &print);
    /// Of a try under the name @p own.
    SuspectVerdict judge(const Fingerprint &print, const LoadKey &own) const;
    /// @p own: it is this VM's.
    void beginTry(const Fingerprint &print, const LoadKey &key, Duration lifetime, bool own);
    void endTry(const LoadKey &key);
    /// The suspect whose try in flight this is, if it is one.
    std::optional<Fingerprint> tried(const LoadKey &key) const;
    /// Those of @p pool where a try with this care may go; all of them, if none may. Others stay
    /// off engines where a suspect runs alone.
    std::vector<EndpointRecord> placesFor(SuspectCare care, std::vector<EndpointRecord> pool,
                                          StreamLedger &ledger) const;
    void receive(const LoadMessage &message);
    /// Takes what another VM, or one that is gone, had condemned.
    void join(const std::vector<SuspectNews> &news);
    /// What a VM that is new here has to know.
    std::vector<LoadMessage> all() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace stackquay
