#include "fake_table.hpp"

#include "libcaraway/attempts/claim_tracker.hpp"
#include "libcaraway/attempts/ticket_registry.hpp"

#include <boost/test/unit_test.hpp>

namespace caraway::attempts
{

namespace
{

const base::workspace_id workspace{"counters"};
const row_key key = once_row_key(workspace, "pay-77");
const once_answer paid{.status = 201, .content_type = "application/json", .body = R"({"n":1})"};

/// Calls with one idempotency key from several routers, and the table row of that key.
struct key_fixture
{
    fake_table table;
    holder_state holder = holder_state::running;

    once_coordinator call(const char* router, std::int64_t now_ms = 1000,
                          std::string_view body = "100 taka")
    {
        return {{},
                {.claimant = {.router = {base::node_id(router), base::incarnation{1}},
                              .request = base::request_number{5}},
                 .key = key,
                 .fingerprint = once_fingerprint(workspace, "POST", "/pay", body),
                 .now_ms = now_ms},
                [this](const attempt_id&)
                {
                    return holder;
                }};
    }

    once_coordinator sending(const char* router)
    {
        auto claimed = call(router);
        BOOST_TEST((run(claimed, table, claimed.start()) == once_step(proceed{})));
        return claimed;
    }

    once_step repeat(const char* router, std::int64_t now_ms = 1000)
    {
        auto repeated = call(router, now_ms);
        return run(repeated, table, repeated.start());
    }
};

void expect_refusal(const once_step& step, error_code code, outcome result)
{
    const auto* const refusal = std::get_if<refuse>(&step);
    BOOST_REQUIRE(refusal != nullptr);
    BOOST_TEST(name(refusal->error.code) == name(code));
    BOOST_TEST(name(refusal->error.result) == name(result));
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(once, key_fixture)

BOOST_AUTO_TEST_CASE(a_repeat_anywhere_gets_the_recorded_answer)
{
    auto first = sending("r1");
    BOOST_TEST((run(first, table, first.finish(paid)) == once_step(settled{})));
    BOOST_TEST((repeat("r2") == once_step(replay{201, "application/json", R"({"n":1})"})));
}

BOOST_AUTO_TEST_CASE(a_call_costs_two_writes_and_its_repeat_one_write_and_one_read)
{
    auto first = sending("r1");
    run(first, table, first.finish(paid));
    BOOST_TEST(table.writes() == 2);
    BOOST_TEST(table.reads() == 0);
    repeat("r2");
    BOOST_TEST(table.writes() == 3);
    BOOST_TEST(table.reads() == 1);
}

BOOST_AUTO_TEST_CASE(a_large_answer_is_not_stored_but_reported_as_done)
{
    auto first = sending("r1");
    run(first, table, first.finish({.status = 200, .body = std::string(5000, 'x')}));
    expect_refusal(repeat("r2"), error_code::already_done, outcome::done);
    BOOST_TEST(table.record().answer_hash == sha256(std::string(5000, 'x')));
}

// Guards against a call that runs twice: the caller repeats its key at another router while the
// first router waits for the upstream, or after the first router crashed. Taking over the claim of
// a holder that may have sent the call would send it again.
BOOST_AUTO_TEST_CASE(a_started_claim_is_never_taken_over)
{
    const auto first = sending("r1");
    expect_refusal(repeat("r2"), error_code::in_progress, outcome::unknown);
    expect_refusal(repeat("r2", 1000 + 180001), error_code::outcome_unknown, outcome::unknown);
    holder = holder_state::gone;
    expect_refusal(repeat("r2"), error_code::outcome_unknown, outcome::unknown);
    BOOST_TEST((table.record().holder.router.id == base::node_id("r1")));
}

// Guards against a call that is refused permanently, or sent without a claim, after the reply to
// the insert was lost. A lost reply means neither success nor failure; only the row shows the
// result.
BOOST_AUTO_TEST_CASE(a_lost_reply_of_the_claim_is_resolved_by_reading_the_holder)
{
    auto own_call = call("r1");
    table.write(own_call.start());
    BOOST_TEST(std::holds_alternative<read_row>(own_call.on_write(write_reply::unknown_effect)));
    BOOST_TEST((own_call.on_read(table.read()) == once_step(proceed{})));

    auto other_call = call("r2");
    other_call.start();
    other_call.on_write(write_reply::unknown_effect);
    expect_refusal(other_call.on_read(table.read()), error_code::in_progress, outcome::unknown);
}

// The reply to the insert is lost, the row is still absent when it is read, and the insert takes
// effect afterwards.
BOOST_AUTO_TEST_CASE(an_insert_that_takes_effect_late_is_still_a_valid_claim)
{
    auto own_call = call("r1");
    const auto insert = own_call.start();
    own_call.on_write(write_reply::unknown_effect);
    const auto again = own_call.on_read(table.read());
    BOOST_TEST(std::holds_alternative<insert_row>(again));
    table.write(insert);
    BOOST_TEST((run(own_call, table, again) == once_step(proceed{})));
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_while_the_store_is_unavailable)
{
    auto own_call = call("r1");
    own_call.start();
    const auto step = own_call.on_write(write_reply::unavailable);
    expect_refusal(step, error_code::store_unavailable, outcome::not_run);
    BOOST_TEST(std::get<refuse>(step).error.retry_after.has_value());
    BOOST_TEST(!own_call.may_send());
    BOOST_TEST((own_call.on_write(write_reply::ok) == once_step(settled{})));
}

BOOST_AUTO_TEST_CASE(a_store_that_never_replies_is_called_a_bounded_number_of_times)
{
    auto own_call = call("r1");
    auto step = own_call.start();
    int calls = 0;
    for (; calls < 100 && !std::holds_alternative<refuse>(step); ++calls)
    {
        step = is_write(step) ? own_call.on_write(write_reply::unknown_effect)
                              : own_call.on_read({read_status::absent, {}});
    }
    BOOST_TEST(calls == 6);
    expect_refusal(step, error_code::store_unavailable, outcome::not_run);
}

// Guards against a call that runs although its caller got "not run": the caller's deadline passes
// while the reply to the claim is pending, and the call is sent once the reply is received.
BOOST_AUTO_TEST_CASE(an_abandoned_claim_is_released_and_never_sent)
{
    auto own_call = call("r1");
    const auto insert = own_call.start();
    BOOST_TEST(own_call.abandon());
    table.write(insert);
    const auto step = own_call.on_write(write_reply::ok);
    BOOST_TEST(std::holds_alternative<replace_row>(step));
    BOOST_TEST((run(own_call, table, step) == once_step(settled{})));
    BOOST_TEST((repeat("r2") == once_step(proceed{})));
}

BOOST_AUTO_TEST_CASE(a_call_that_was_not_sent_releases_its_key_for_the_same_request_only)
{
    auto first = sending("r1");
    run(first, table, first.finish_without_answer(outcome::not_run));
    auto other = call("r2", 1000, "200 taka");
    expect_refusal(run(other, table, other.start()), error_code::key_reused, outcome::not_run);
    BOOST_TEST((repeat("r2") == once_step(proceed{})));
    BOOST_TEST((table.record().holder.router.id == base::node_id("r2")));
}

BOOST_AUTO_TEST_CASE(an_unknown_end_stays_unknown)
{
    auto first = sending("r1");
    run(first, table, first.finish_without_answer(outcome::unknown));
    expect_refusal(repeat("r2"), error_code::outcome_unknown, outcome::unknown);
}

// Guards against a finished call that stays "in progress": the store is unavailable when the end is
// recorded, and then a write takes effect but its reply is lost.
BOOST_AUTO_TEST_CASE(the_end_is_recorded_through_outage_and_lost_reply)
{
    auto first = sending("r1");
    BOOST_TEST(!first.abandon());
    auto step = first.finish(paid);
    BOOST_TEST(first.backoff().count() == 0);
    step = first.on_write(write_reply::unavailable);
    BOOST_TEST(first.backoff().count() == 100);
    table.write(step);
    step = first.on_write(write_reply::unknown_effect);
    BOOST_TEST(first.backoff().count() == 200);
    BOOST_TEST((run(first, table, step) == once_step(settled{})));
    BOOST_TEST((repeat("r2") == once_step(replay{201, "application/json", R"({"n":1})"})));
}

BOOST_AUTO_TEST_CASE(a_record_that_cannot_be_read_is_not_taken_over)
{
    table.write(insert_row{.key = key, .body = "{}"});
    expect_refusal(repeat("r1"), error_code::outcome_unknown, outcome::unknown);
}

BOOST_AUTO_TEST_CASE(holders_of_this_incarnation_are_looked_up_in_memory)
{
    const base::node_ref self{base::node_id("r1"), base::incarnation{4}};
    const base::node_ref previous{base::node_id("r1"), base::incarnation{3}};
    claim_tracker tracker({.max_not_sent = 1}, self,
                          [&](const base::node_ref& holder_router)
                          { return holder_router.id == base::node_id("r2"); });
    const auto state = [&](const base::node_ref& holder_router, std::uint64_t number)
    {
        return tracker.state({.router = holder_router, .request = base::request_number{number}});
    };
    tracker.begin(base::request_number{1});
    tracker.begin(base::request_number{2});
    BOOST_TEST((state(self, 1) == holder_state::running));
    tracker.give_up(base::request_number{1});
    BOOST_TEST((state(self, 1) == holder_state::not_sent));
    BOOST_TEST((state(previous, 1) == holder_state::gone));
    tracker.give_up(base::request_number{2});
    BOOST_TEST((state(self, 1) == holder_state::gone));
    tracker.end(base::request_number{2});
    BOOST_TEST((state(self, 2) == holder_state::not_sent));
    BOOST_TEST((state({base::node_id("r2"), base::incarnation{9}}, 1) == holder_state::running));
}

BOOST_AUTO_TEST_SUITE_END()

namespace
{

/// The ticket registry of one router with a manual clock.
struct registry_fixture
{
    base::manual_clock clock;
    base::node_ref self{base::node_id("r1"), base::incarnation{2}};
    ticket_registry registry{{.capacity = 2}, self};
    config::sha256_hex request = once_fingerprint(workspace, "POST", "/pay", "100 taka");

    ticket mint()
    {
        return registry.mint(workspace, clock.now()).value();
    }
    ticket_step use(const ticket& value)
    {
        return registry.use(value, workspace, request, clock.now());
    }
};

void expect_refusal(const ticket_step& step, error_code code)
{
    const auto* const refusal = std::get_if<refuse>(&step);
    BOOST_REQUIRE(refusal != nullptr);
    BOOST_TEST(name(refusal->error.code) == name(code));
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(tickets, registry_fixture)

BOOST_AUTO_TEST_CASE(a_ticket_sends_once_and_replays_afterwards)
{
    const auto value = mint();
    BOOST_TEST((parse_ticket(to_text(value)) == value));
    BOOST_TEST((use(value) == ticket_step(proceed{})));
    expect_refusal(use(value), error_code::in_progress);
    registry.finish(value, paid, clock.now());
    BOOST_TEST((use(value) == ticket_step(replay{201, "application/json", R"({"n":1})"})));
    request = once_fingerprint(workspace, "POST", "/pay", "200 taka");
    expect_refusal(use(value), error_code::key_reused);
    request.clear();
    expect_refusal(registry.use(value, base::workspace_id("x"), request, clock.now()),
                   error_code::permission_denied);
}

// Guards against a call that runs twice after a restart: a ticket is used, the router restarts, and
// the caller uses the ticket again. The new incarnation must not treat the ticket of an earlier one
// as unused.
BOOST_AUTO_TEST_CASE(a_ticket_of_another_incarnation_is_void_and_of_another_router_is_redirected)
{
    mint();
    const ticket previous{.router = {self.id, base::incarnation{1}}, .number = 1};
    const ticket other{.router = {base::node_id("r2"), base::incarnation{1}}, .number = 1};
    expect_refusal(use(previous), error_code::ticket_void);
    BOOST_TEST((use(other) == ticket_step(redirect_to{other.router})));
}

BOOST_AUTO_TEST_CASE(tickets_are_bounded_and_expire_but_not_while_they_run)
{
    const auto unused = mint();
    const auto used = mint();
    use(used);
    BOOST_TEST(
        (registry.mint(workspace, clock.now()).error().code == base::errc::resource_exhausted));
    clock.advance(std::chrono::hours(1));
    expect_refusal(use(unused), error_code::ticket_void);
    expect_refusal(use(used), error_code::in_progress);
    registry.finish_without_answer(used, outcome::unknown, clock.now());
    expect_refusal(use(used), error_code::outcome_unknown);
    clock.advance(std::chrono::minutes(5));
    expect_refusal(use(used), error_code::ticket_void);
    BOOST_TEST(registry.size() == 0);
}

BOOST_AUTO_TEST_CASE(a_call_that_was_not_sent_leaves_its_ticket_usable)
{
    const auto value = mint();
    use(value);
    registry.finish_without_answer(value, outcome::not_run, clock.now());
    BOOST_TEST((use(value) == ticket_step(proceed{})));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace caraway::attempts
