/// What a load run is asked to do.
#pragma once

#include <string>
#include <vector>

#include "net/net.h"

namespace stackquay {

/// A share of the requests with lengths drawn log-uniformly from a range of tokens.
struct LengthRange {
    uint32_t m_low = 1;
    uint32_t m_high = 1;
    double m_weight = 1;
};

struct LoadCustomer {
    std::string m_key; ///< Bearer key.
    double m_weight = 1; ///< Share of the arrivals.
};

/// A stretch of the run with one arrival rate.
struct LoadPhase {
    Duration m_length{ Seconds(10) };
    double m_rate = 10; ///< Requests a second.
};

struct LoadOptions {
    std::vector<Address> m_targets; ///< Daemons, used in turn; with m_direct: engines.
    bool m_direct = false; ///< Speak the engine protocol.
    std::string m_model = "hint-forge";
    std::string m_version; ///< Only with m_direct.
    uint64_t m_seed = 1;
    size_t m_threads = 2;
    std::vector<LoadPhase> m_phases{ LoadPhase{} };
    /// Not zero: this many loops send back to back instead of Poisson arrivals.
    size_t m_closedLoops = 0;
    size_t m_openLimit = 20'000; ///< Requests open at once; arrivals above it are not sent.
    Duration m_drainTimeout{ Seconds(30) };
    Duration m_requestTimeout{ Seconds(600) }; ///< For each wait of a request.
    std::vector<LengthRange> m_lengths{ { 1'000, 100'000, 0.98 }, { 100'000, 1'000'000, 0.02 } };
    std::vector<LengthRange> m_outputs{ { 16, 256, 1 } };
    /// Prompts above this many tokens are planned but not sent, so that the rest arrives as before.
    uint32_t m_skipAbove = 0;
    std::vector<LoadCustomer> m_customers{ { "", 1 } };
    std::vector<double> m_priorityWeights{ 1 }; ///< By priority, from 0.
    std::string m_service; ///< Plain service for m_serviceShare of the requests.
    double m_serviceShare = 0;
    double m_serviceRepeatShare = 0; ///< Service calls that use an earlier idempotency key again.
    double m_prefixShare = 0; ///< Prompts that start with a prefix of the pool.
    uint32_t m_prefixTokens = 2'048;
    uint32_t m_prefixPool = 16;
    double m_repeatShare = 0; ///< Prompts that were asked before; their answers are compared.
    Duration m_deadline{ 0 }; ///< Sent as Stackquay-Deadline if not zero.
};

/// "1000-4000=0.7,32000=0.3": ranges or single lengths, each with a weight (1 if left out).
Result<std::vector<LengthRange>> parseLengths(std::string_view text);
/// "KEY=WEIGHT,KEY=WEIGHT": bearer keys with shares (1 if left out).
Result<std::vector<LoadCustomer>> parseCustomers(std::string_view text);
/// "10:50,20:200": seconds and requests a second of each phase.
Result<std::vector<LoadPhase>> parsePhases(std::string_view text);
/// "0.8,0.2": weights of priority 0, 1, ...
Result<std::vector<double>> parseWeights(std::string_view text);
/// "127.0.0.1:80,127.0.0.1:81".
Result<std::vector<Address>> parseTargets(std::string_view text);
/// What cannot be run, as one error.
Status checkOptions(const LoadOptions &options);

} // namespace stackquay
