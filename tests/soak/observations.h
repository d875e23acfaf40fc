/// What clients, endpoints and the operator saw of a run: all that the soak judges by.
///
/// Times are from the start of the traffic.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/core.h"

namespace stackquay::soak {

enum class Traffic {
    Safe,
    Unsafe,
    Moving, ///< Safe, on the route that goes from service to service.
    Stream, ///< May be resumed.
    Once, ///< A stream that may not.
    Long, ///< A stream whose prompt is larger than an engine's memory.
    Last = Long,
};

/// Whether a request may run more than once.
constexpr bool isRepeatable(Traffic traffic)
{
    return traffic != Traffic::Unsafe && traffic != Traffic::Once;
}

/// One request, as its client saw it.
struct SentRequest {
    std::string m_id;
    Traffic m_traffic = Traffic::Safe;
    size_t m_vm = 0;
    std::string m_key;
    std::string m_path;
    std::string m_body;
    uint32_t m_events = 0; ///< Of the whole stream.
    Millis m_begun{ 0 }; ///< The first byte was sent after this.
    std::optional<Millis> m_sent; ///< The last byte was sent.
    Millis m_ended{ 0 };
    Millis m_deadline{ 0 }; ///< From m_begun.
    bool m_gaveUp = false; ///< The client closed the connection, at its deadline.
    unsigned m_status = 0; ///< Zero: no answer.
    bool m_whole = false; ///< The answer looks complete.
    std::string m_answeredId;
    std::string m_seal;
    std::string m_worker; ///< As the answer names it.
    std::string m_answer;
};

/// One run of a request, as an endpoint saw it.
struct SeenRun {
    std::string m_requestId;
    std::string m_worker;
    size_t m_slot = 0; ///< Of the worker.
    std::string m_service;
    std::string m_tenant;
    std::string m_path;
    std::string m_body;
    bool m_sawKey = false; ///< The client's key was passed on.
    Millis m_from{ 0 };
    std::optional<Millis> m_until; ///< None: the endpoint's own end broke it off.
};

struct SeenWorker {
    std::string m_id;
    size_t m_slot = 0;
    std::string m_service;
    std::optional<Millis> m_leaving; ///< The store acknowledged that it is leaving or gone.
    std::optional<Millis> m_ended;
};

/// A configuration from the operator's acknowledgement on.
struct SeenVersion {
    uint64_t m_version = 0;
    Millis m_at{ 0 };
    std::string m_movingService;
    std::string m_key; ///< The one that is replaced now and then.
};

enum class Place {
    Vm,
    StoreLink, ///< Of a VM.
    Worker, ///< By slot.
    WorkerPause, ///< By slot: it delays answers and breaks none off.
    Store,
};

/// What the soak did to a part, from its first effect to its last.
struct Disruption {
    Place m_place = Place::Vm;
    size_t m_subject = 0;
    Millis m_from{ 0 };
    Millis m_until{ 0 };
    bool m_planned = false;
    std::string m_what;
};

/// The end of a daemon's process.
struct SeenExit {
    size_t m_vm = 0;
    Millis m_at{ 0 };
    int m_status = 0;
    int m_signal = 0;
    std::optional<Millis> m_terminated; ///< SIGTERM, if it got one.
    bool m_killed = false; ///< By a fault.
    bool m_overdue = false; ///< It got SIGKILL at the end of the grace.
};

struct SeenStart {
    size_t m_vm = 0;
    Millis m_at{ 0 };
};

/// Memory that a worker had set aside at a moment.
struct SeenMemory {
    Millis m_at{ 0 };
    std::string m_worker;
    size_t m_slot = 0;
    uint64_t m_tokens = 0;
};

struct Observations {
    std::vector<SentRequest> m_requests;
    std::vector<SeenRun> m_runs;
    std::vector<SeenWorker> m_workers;
    std::vector<SeenVersion> m_versions; ///< By time.
    std::vector<Disruption> m_disruptions;
    std::vector<SeenExit> m_exits;
    std::vector<SeenStart> m_starts;
    std::vector<SeenMemory> m_memory;
    Millis m_calmFrom{ 0 };
    Millis m_end{ 0 };
    Millis m_memoryUnusedFrom{ 0 }; ///< No request that uses reserved memory is open from then on.
};

/// The tenant under @p version, which so tells which configuration a VM went by.
std::string tenantOf(uint64_t version);
/// The version in the name of a tenant.
std::optional<uint64_t> versionOf(const std::string &tenant);
/// The text of the events of a whole stream, as the stand-in of an endpoint writes them.
std::string streamText(uint32_t events);

} // namespace stackquay::soak
