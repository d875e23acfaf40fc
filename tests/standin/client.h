/// A client thread for the tests of the stand-ins.
#pragma once

#include <future>

#include <gtest/gtest.h>

#include "standin/standin.h"

namespace stackquay::standin {

/// Runs calls on a FiberThread of its own and waits for them on the test's thread.
class Client
{
public:
    Client()
        : m_thread("client")
    {
        m_thread.start();
    }

    ~Client()
    {
        m_thread.stop();
        m_thread.join();
    }

    FiberThread &thread() { return m_thread; }

    /// Starts one whole call on a fresh connection.
    std::future<Result<HttpResponse>> start(const Address &address, HttpRequest request)
    {
        auto promise = std::make_shared<std::promise<Result<HttpResponse>>>();
        auto answer = promise->get_future();
        m_thread.post([this, promise, address, request = std::move(request)] {
            HttpPool pool(m_thread.context());
            promise->set_value(pool.call(address, request, {}, false));
        });
        return answer;
    }

    Result<HttpResponse> call(const Address &address, HttpRequest request)
    {
        return start(address, std::move(request)).get();
    }

    /// Runs @p function in a fiber and waits for its end.
    void run(std::function<void()> function)
    {
        std::promise<void> done;
        m_thread.post([&] {
            function();
            done.set_value();
        });
        done.get_future().wait();
    }

private:
    FiberThread m_thread;
};

inline Json jsonOf(const Result<HttpResponse> &response)
{
    return response ? Json::parse(response->m_body, nullptr, false) : Json();
}

inline unsigned statusOf(const Result<HttpResponse> &response)
{
    return response ? response->m_status : 0;
}

} // namespace stackquay::standin
