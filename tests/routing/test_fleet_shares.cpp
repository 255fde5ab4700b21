#include "libcaraway/routing/admission.hpp"
#include "libcaraway/routing/workspace_shares.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace caraway;
using namespace std::chrono_literals;
using routing::workspace_shares;

namespace
{

const base::workspace_id spread("spread");
const base::workspace_id held("held");

/// Routers that hear each other's counts twice a second, before engines that take all that is
/// admitted. One workspace's callers come to all of them, another's to the first only, which
/// carries no more than that workspace's share.
class fleet
{
public:
    fleet()
    {
        for (int number = 0; number < routers; ++number)
        {
            shares_.emplace_back(routing::share_options{.window = window, .refresh = 100ms});
            shares_.back().set_capacity(capacity);
            shares_.back().set_count_delay(period);
        }
    }

    /// Asks ten times what all engines give, for so long.
    void flood(std::chrono::milliseconds span)
    {
        const auto until = now_ + span;
        for (; now_ < until; now_ += step)
        {
            exchange();
            for (auto& each : shares_)
            {
                ask(each, spread, 10 * capacity * seconds(step) / routers);
            }
            carried_ = std::min(carried_ + capacity / 2 * seconds(step), 10 * request);
            ask(shares_.front(), held, 2 * capacity * seconds(step));
        }
    }

    /// Tokens that each had in the last window.
    double had(const base::workspace_id& id)
    {
        double all = 0;
        for (auto& each : shares_)
        {
            all += each.own(now_)[id].served;
        }
        return all;
    }

private:
    static constexpr int routers = 20;
    static constexpr double capacity = 4000;
    static constexpr double request = 10;
    static constexpr std::chrono::milliseconds window{4000};
    static constexpr std::chrono::milliseconds period{500};
    static constexpr std::chrono::milliseconds step{10};

    static double seconds(std::chrono::milliseconds span)
    {
        return std::chrono::duration<double>(span).count();
    }

    void exchange()
    {
        const auto ticks = now_.time_since_epoch() / step;
        for (int from = 0; from < routers; ++from)
        {
            if ((ticks + from * 7) % (period / step) != 0)
            {
                continue;
            }
            const auto counts = shares_[from].own(now_);
            for (int to = 0; to < routers; ++to)
            {
                if (to != from)
                {
                    shares_[to].set_peer(base::node_id(std::to_string(from)), counts, now_);
                }
            }
        }
    }

    void ask(workspace_shares& at, const base::workspace_id& id, double tokens)
    {
        const routing::route route{.latency_target = 400ms};
        owed_[&at] += tokens;
        for (; owed_[&at] >= request; owed_[&at] -= request)
        {
            at.count_asked(id, request, now_);
            const auto terms = routing::admit(route, at.of(id, false, now_));
            const bool carried = id != held || carried_ >= request;
            if (!terms.closed && draw_(random_) < terms.chance && carried)
            {
                at.count_served(id, request, now_);
                carried_ -= id == held ? request : 0;
            }
        }
    }

    std::vector<workspace_shares> shares_;
    std::map<workspace_shares*, double> owed_;
    /// Tokens that the first router's VM could pass on by now for the one held there.
    double carried_ = 0;
    std::mt19937 random_{7};
    std::uniform_real_distribution<double> draw_{0, 1};
    base::time_point now_{1h};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(fleet_shares)

// A workspace that asks at many routers must not get twice another's share before their counts are
// heard.
BOOST_AUTO_TEST_CASE(
    one_that_asks_everywhere_gets_no_twice_of_one_whose_callers_hold_on_to_a_router)
{
    fleet all;
    all.flood(6s);
    for (int look = 0; look < 40; ++look)
    {
        all.flood(250ms);
        BOOST_TEST(all.had(spread) <= 2 * all.had(held));
        BOOST_TEST(all.had(held) <= 2 * all.had(spread));
    }
}

BOOST_AUTO_TEST_SUITE_END()
