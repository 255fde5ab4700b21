#include "fake_table.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <deque>

namespace caraway::attempts
{

namespace
{

/// Copies of one call with the same idempotency key, each at its own router, on a store that loses
/// replies, delays writes and is unavailable at times.
class fault_simulation
{
public:
    explicit fault_simulation(std::size_t copies)
    {
        for (std::size_t number = 0; number < copies; ++number)
        {
            copies_.push_back(std::make_unique<copy>(
                once_options{},
                once_call{.claimant = {.router = {base::node_id("r" + std::to_string(number)),
                                                  base::incarnation{1}},
                                       .request = base::request_number{1}},
                          .key = {"k", "claim"},
                          .fingerprint = "same"},
                [this](const attempt_id& holder) { return state_of(holder); }));
            copies_.back()->step = copies_.back()->call.start();
        }
    }

    /// Advances one copy, applies a delayed write or injects a fault, chosen by the random numbers.
    void run_turn(std::size_t copy_index, int fault)
    {
        if (fault == 0 && !delayed_writes_.empty())
        {
            table_.write(delayed_writes_.front());
            delayed_writes_.pop_front();
            return;
        }
        auto& chosen = *copies_[copy_index % copies_.size()];
        if (chosen.crashed)
        {
            return;
        }
        if (fault == 1)
        {
            chosen.crashed = true;
        }
        else if (fault == 2)
        {
            chosen.reported_not_run = chosen.call.abandon() || chosen.reported_not_run;
        }
        else
        {
            advance(chosen, fault);
        }
    }

    int runs() const
    {
        return runs_;
    }
    bool is_not_run_correct() const
    {
        return std::none_of(copies_.begin(), copies_.end(),
                            [](const auto& target)
                            { return target->reported_not_run && target->ran; });
    }

private:
    struct copy
    {
        copy(once_options options, once_call call_data, once_coordinator::holder_lookup holder)
            : call(options, std::move(call_data), std::move(holder))
        {
        }

        once_coordinator call;
        once_step step;
        bool crashed = false;
        bool proceeded = false;
        bool ran = false;
        bool reported_not_run = false;
    };

    holder_state state_of(const attempt_id& holder) const
    {
        const auto number = std::stoul(holder.router.id.str().substr(1));
        const auto& target = *copies_[number];
        if (target.reported_not_run && !target.proceeded && !target.crashed)
        {
            return holder_state::not_sent;
        }
        return target.crashed ? holder_state::gone : holder_state::running;
    }

    void advance(copy& target, int fault)
    {
        if (is_write(target.step))
        {
            target.step = target.call.on_write(write_with(target.step, fault));
        }
        else if (std::holds_alternative<read_row>(target.step))
        {
            target.step = target.call.on_read(fault == 3 ? read_reply{} : table_.read());
        }
        else if (std::holds_alternative<proceed>(target.step))
        {
            send(target, fault);
        }
        else if (const auto* const refusal = std::get_if<refuse>(&target.step))
        {
            target.reported_not_run = refusal->error.result == outcome::not_run;
        }
    }

    write_reply write_with(const once_step& step, int fault)
    {
        switch (fault)
        {
        case 3:
            return write_reply::unavailable;
        case 4:
            delayed_writes_.push_back(step);
            return write_reply::unknown_effect;
        case 5:
            table_.write(step);
            return write_reply::unknown_effect;
        default:
            return table_.write(step) ? write_reply::ok : write_reply::conflict;
        }
    }

    void send(copy& target, int fault)
    {
        target.proceeded = true;
        if (fault == 3)
        {
            target.reported_not_run = true;
            target.step = target.call.finish_without_answer(outcome::not_run);
            return;
        }
        target.ran = true;
        ++runs_;
        target.step = fault == 4 ? target.call.finish_without_answer(outcome::unknown)
                                 : target.call.finish({.status = 200});
    }

    fake_table table_;
    std::vector<std::unique_ptr<copy>> copies_;
    std::deque<once_step> delayed_writes_;
    int runs_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(once_properties)

BOOST_AUTO_TEST_CASE(a_key_runs_at_most_once_despite_losses_delays_and_crashes)
{
    const auto holds = [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& turns)
    {
        constexpr int turn_kinds = 12;
        fault_simulation simulation(3);
        for (const auto& [copy_index, fault] : turns)
        {
            simulation.run_turn(copy_index, fault % turn_kinds);
        }
        RC_ASSERT(simulation.runs() <= 1);
        RC_ASSERT(simulation.is_not_run_correct());
    };
    BOOST_TEST(rc::check("a key runs at most once", holds));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace caraway::attempts
