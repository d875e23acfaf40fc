/// One call of a plain service.
#pragma once

#include "net/net.h"

namespace stackquay {

struct ServiceCall {
    HttpRequest m_request; ///< Target and headers as the service gets them.
    AttemptId m_attempt;
    bool m_repeatable = true;
    Duration m_timeout = Seconds(30);
};

struct ServiceFailure {
    bool m_notRun = false; ///< True only if the service said so or no byte left.
    Error m_error;
};

/// Sends the call once; a call that is not repeatable goes on a fresh connection.
tl::expected<HttpResponse, ServiceFailure> callService(HttpPool &pool, const Address &address,
                                                       ServiceCall call);

} // namespace stackquay
