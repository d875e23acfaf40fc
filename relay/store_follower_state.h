/// State of a StoreFollower. Internal.
#pragma once

#include "relay/store_follower.h"

namespace stackquay {

/// Period at which roles and ages are checked.
constexpr Millis Poll{ 100 };
/// Delay of a watch after a change, which batches changes: while endpoints register one after the
/// other, each change would otherwise be sent to every watching VM alone. It is part of the few
/// seconds within which a leaving endpoint must be known.
constexpr Millis EndpointsBatchDelay{ 200 };

struct StoreFollower::State : std::enable_shared_from_this<StoreFollower::State> {
    State(FiberThread &thread, KindStore &store, const RelaySource &source, FollowerHooks hooks,
          bool followEvacuations);

    /// A watched kind of objects, with its list and update functions.
    struct WatchedKind {
        const std::string m_kind;
        const Millis m_watchTimeout;
        const Millis m_batchDelay; ///< Pause after a change before the next watch call.
        bool (State::*const m_list)(StorePosition &position);
        void (State::*const m_apply)(const KindEvents &events);
        /// All changes up to here are applied. Unknown: the objects have to be listed.
        StorePosition m_through{};
        TimePoint m_provedAt{}; ///< No other change of this kind had been made by then.
        TimePoint m_pausedUntil{}; ///< End of the last m_batchDelay.
        uint64_t m_generation = 0; ///< Watches of earlier generations stop.
    };

    /// The latest known process of an endpoint id; kept after its entry is removed.
    struct ProcessStart {
        uint64_t m_startedMs = 0;
        TimePoint m_seen{};
    };

    const bool m_followEvacuations;
    FiberThread &m_thread;
    KindStore &m_store;
    const RelaySource &m_source;
    FollowerHooks m_hooks;
    RandomEngine m_random;
    RouteTablePtr m_routes;
    size_t m_routesPages = 1; ///< Of the last list of the routes' kind.
    std::string m_routesSpec; ///< The last decoded spec; an unchanged one is not decoded again.
    EndpointDirectory m_directory;
    Evacuations m_evacuations;
    std::unordered_map<EndpointId, ProcessStart> m_processStarts;
    /// Entries that could not be decoded, and the revisions of them that were logged.
    std::unordered_map<EndpointId, uint64_t> m_unreadableRevisions;
    /// Unconfirmed endpoints, and when they are removed.
    std::unordered_map<EndpointId, TimePoint> m_pendingRemovals;
    TimePoint m_startedAt{};
    TimePoint m_failingSince{}; ///< First of the consecutive failures.
    TimePoint m_lastAnswer{};
    TimePoint m_unreachableAt{}; ///< Last failure after UnreachableAfterSilence.
    TimePoint m_recoveredAt{}; ///< End of the last outage, or time of the first list.
    /// Until then lists may contain outdated entries, because the store was restored from a backup.
    TimePoint m_restoreGraceUntil{};
    /// Removed endpoints, and when they were removed.
    std::unordered_map<EndpointId, TimePoint> m_departed;
    WatchedKind m_routesKind;
    WatchedKind m_endpointsKind;
    WatchedKind m_evacuationsKind;
    /// Fraction of the schedule's jitter by which the next read is late.
    double m_readJitter = 0;
    TimePoint m_readAt{}; ///< The last read by schedule.
    TimePoint m_routesProvedAt{}; ///< As m_directoryProvedAt, of the routes known to this VM.
    /// The endpoints and evacuations known to this VM were the newest in the store at this time, as
    /// shown by its own reads or by a peer.
    TimePoint m_directoryProvedAt{};
    bool m_watching = false;

    bool applyRoutes(const std::string &spec);
    void followWatcherRole();
    void noteSuspension(Duration sincePoll);
    void startWatches();
    void startWatch(WatchedKind &kind);
    void watch(WatchedKind &kind, uint64_t generation);
    void applyWatched(WatchedKind &kind, const KindEvents &events, TimePoint begun, Millis wait);
    std::vector<WatchedKind *> directoryKinds();
    StorePosition appliedThrough(const WatchedKind &kind) const;
    void keepCurrent();
    Duration untilRead(TimePoint now);
    Duration jittered(Duration age, Duration jitter) const;
    void updateRoutesProof();
    void logOwnRead(TimePoint now);
    bool canProveDirectory();
    bool readStore();
    bool readByList();
    bool readEachKind();
    bool readRoutes();
    bool applyListedRoutes(const KindPage &page, TimePoint begun);
    bool listRoutes(StorePosition &position);
    std::vector<WatchedKind *> kindsBehind(const StorePosition &position, TimePoint at);
    bool catchUp(const std::vector<WatchedKind *> &behind, const StorePosition &position);
    bool catchUp(WatchedKind &kind);
    void proveDirectory();
    void applyRouteEvents(const KindEvents &events);
    bool listEndpoints(StorePosition &position);
    void applyEndpointEvents(const KindEvents &events);
    bool listEvacuations(StorePosition &position);
    void applyEvacuationEvents(const KindEvents &events);
    void applyEvacuations(const Evacuations &evacuations);
    void noteColdPeriod(const EndpointRecord &endpoint);
    void applyEndpoint(const KindObject &object);
    void dropUnreadable(const KindObject &object, const Error &error);
    void noteReadable(const EndpointId &endpoint);
    void forgetOldProcesses();
    void noteDepartures(const EndpointMap &before);
    bool isStaleAfterRestore(const KindObject &object);
    void endRestoreGrace();
    bool isFromEarlierProcess(const EndpointRecord &endpoint);
    void removeEndpoint(const EndpointId &endpoint);
    void expireUnconfirmed();
    void scheduleRemovals();
    void publishDirectory(const StorePosition &position);
    void noteAnswer();
    bool backOff(unsigned failures);
    void noteUnreachable(TimePoint now);
    bool pause(unsigned failures);
    bool awaitAnswer(const WatchedKind &kind, uint64_t generation);
    bool inRecoveryGrace(TimePoint now) const;
};

} // namespace stackquay
