/// What the relay needs to know of the headers and calls of a platform, as free functions over
/// plain structs. An adapter fills the table; the relay names no header itself.
#pragma once

#include <optional>
#include <vector>

#include "net/net.h"
#include "policy/policy.h"

namespace stackquay {

/// A client's request as the relay understands it.
struct RelayHead {
    RequestId m_id;
    std::optional<Millis> m_deadline; ///< From the arrival.
    std::string m_key; ///< Empty: none was sent.
    uint64_t m_promptTokens = 0; ///< Zero: not a model request.
    uint64_t m_answerTokens = 0; ///< The most that may be written.
    std::optional<uint64_t> m_lastEvent; ///< The client resumes a stream after this event.
    HttpHeaders m_endToEnd; ///< To be passed on, without those that the relay sets itself.
};

/// One engine that helps to read a prompt.
struct HelperRef {
    std::string m_address;
    std::string m_ticket; ///< Of memory reserved there; empty: none.
};

/// What one attempt adds to the client's headers.
struct AttemptHead {
    EndpointId m_endpoint; ///< Any other process at that address refuses.
    Millis m_left{ 0 }; ///< Time that the attempt may take.
    CustomerId m_customer; ///< Empty: the route needs no key.
    std::vector<HelperRef> m_helpers;
    std::optional<uint64_t> m_lastEvent; ///< Resume after this event.
    std::optional<uint32_t> m_urgency; ///< 0 is most urgent.
};

/// An endpoint's answer, before its body.
struct AnswerHead {
    RequestId m_id; ///< Echoed; empty: none.
    bool m_notRun = false; ///< The endpoint says that it did not run the attempt and will not.
    bool m_misdirected = false; ///< Another process has the address now.
    bool m_signed = false; ///< Carries the endpoint's signature.
    bool m_encoded = false; ///< The body is encoded, so it is not the endpoint's own.
    std::string m_faultyAddress; ///< The endpoint at fault, if the answer names one.
    HttpHeaders m_endToEnd; ///< To be passed on to the client.
};

/// Memory of an engine that is reserved under a name of ours.
struct MemoryOrder {
    std::string m_ticket;
    uint64_t m_tokens = 0;
    Millis m_hold{ 0 };
};

struct RelayDialect {
    RelayHead (*m_readRequest)(const HttpRequest &request) = nullptr;
    /// The headers of an attempt.
    HttpHeaders (*m_writeAttempt)(const RelayHead &request, const AttemptHead &attempt) = nullptr;
    AnswerHead (*m_readAnswer)(const HttpResponse &response) = nullptr;
    /// The headers that name a request in an answer of our own.
    HttpHeaders (*m_writeAnswer)(const RequestId &request) = nullptr;
    HttpRequest (*m_reserve)(const MemoryOrder &order) = nullptr;
    HttpRequest (*m_release)(const std::string &ticket) = nullptr;
};

} // namespace stackquay
