/// Properties of a request that its headers determine: customer, priority and deadline.
#pragma once

#include <optional>

#include "entry/routing_view.h"

namespace stackquay {

struct RequestContext {
    RequestId m_id;
    RoutingViewPtr m_view;
    const Customer *m_customer = nullptr; ///< Owned by m_view.
    int m_priority = 0;
    bool m_repeatable = true; ///< Whether the request may be retried after it may have run.
    std::string m_idempotencyKey; ///< Empty: none.
    std::optional<Millis> m_requestedDeadline; ///< From arrival; empty: the default applies.
    TimePoint m_arrived;
};

/// Parses the headers and authenticates the customer by the bearer key. Refuses the request if @p
/// view is null.
tl::expected<RequestContext, Refusal> makeRequestContext(const HttpRequest &request, RequestId id,
                                                         RoutingViewPtr view, TimePoint arrived);

/// The deadline that the head of a request asks for, from its arrival on; nothing if none, or one
/// that makeRequestContext() refuses.
std::optional<Duration> readDeadlineHeader(const HttpRequest &head);

/// Returns a refusal with the outcome RefusedNotRun.
Refusal refuseNotRun(RequestError error, std::string message);

} // namespace stackquay
