/// Calls from a fiber of one thread to another thread.
#pragma once

#include <functional>
#include <memory>

#include <boost/fiber/future.hpp>

#include "net/fiber_thread.h"

namespace stackquay {

/// Runs @p function in a fiber of @p thread while the calling fiber waits. Unavailable if that
/// thread stops before it runs.
template<typename T>
Result<T> runOn(FiberThread &thread, std::function<T()> function)
{
    auto promise = std::make_shared<boost::fibers::promise<T>>();
    boost::fibers::future<T> future = promise->get_future();
    thread.post([promise, function = std::move(function)] { promise->set_value(function()); });
    promise.reset();
    try {
        return future.get();
    } catch (const boost::fibers::future_error &) {
        return makeError(ErrorCode::Unavailable, "The daemon is stopping.");
    }
}

} // namespace stackquay
