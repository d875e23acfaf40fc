/// What is fixed about a request when it arrives: who asks, how urgent, and until when.
#pragma once

#include <optional>

#include "entry/routing_view.h"

namespace stackquay {

struct RequestContext {
    RequestId m_id;
    RoutingViewPtr m_view;
    const Customer *m_customer = nullptr; ///< Lives in m_view.
    int m_priority = 0;
    bool m_repeatable = true;
    std::string m_idempotencyKey; ///< Empty: none.
    std::optional<Millis> m_wishedDeadline;
    TimePoint m_arrived;
};

/// Reads the headers, and finds the customer by its bearer key.
tl::expected<RequestContext, Refusal> makeRequestContext(const HttpRequest &request, RequestId id,
                                                         RoutingViewPtr view, TimePoint arrived);

/// A refusal of something that has not run.
Refusal refuseNotRun(RequestError error, std::string message);

} // namespace stackquay
