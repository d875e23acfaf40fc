#include "net/signals.h"

#include <csignal>

#include <boost/asio/signal_set.hpp>

#include "net/yield.h"

namespace stackquay {

struct TerminationSignals::State {
    boost::asio::signal_set m_signals;
    std::function<void(unsigned count)> m_handler;
    unsigned m_count = 0;

    State(boost::asio::io_context &context, std::function<void(unsigned count)> handler)
        : m_signals(context, SIGTERM, SIGINT)
        , m_handler(std::move(handler))
    { }
};

TerminationSignals::TerminationSignals(FiberThread &thread,
                                       std::function<void(unsigned count)> handler)
    : m_state(std::make_shared<State>(thread.context(), std::move(handler)))
{
    thread.post([state = m_state] {
        while (true) {
            boost::system::error_code error;
            state->m_signals.async_wait(Yield{ error });
            if (error)
                return;
            const unsigned count = ++state->m_count;
            // In its own fiber, so that a slow handler does not hide the next signal.
            spawnFiber([state, count] { state->m_handler(count); });
        }
    });
}

TerminationSignals::~TerminationSignals() = default;

} // namespace stackquay
