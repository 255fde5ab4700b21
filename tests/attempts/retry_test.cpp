#include "libcaraway/attempts/call_classifier.hpp"
#include "libcaraway/attempts/retry_policy.hpp"

#include <boost/test/unit_test.hpp>

namespace caraway::attempts
{

namespace
{

const base::upstream_id first_upstream{"u1"};
const base::upstream_id second_upstream{"u2"};

/// One request, its attempts and the situation that the policy decides on.
struct request_fixture
{
    base::manual_clock clock;
    attempt_record record{{base::node_id("r1"), base::incarnation{7}}, base::request_number{12}};
    retry_policy policy;
    retry_situation situation{.idempotent = false,
                              .now = clock.now(),
                              .deadline = clock.now() + std::chrono::seconds(60),
                              .bytes_sent_to_caller = 0,
                              .resumable_from_token = std::nullopt,
                              .budget_left = true,
                              .caller_present = true};

    retry_decision after(end_kind kind, std::uint16_t status = 0,
                         const base::upstream_id& upstream = first_upstream)
    {
        const auto id = record.begin(upstream);
        BOOST_TEST(
            record.end(id, {.kind = kind, .status = status}, situation.bytes_sent_to_caller));
        return policy.decide(record, situation);
    }
};

void expect_error(const caller_error& error, std::uint16_t status, error_code code, outcome result)
{
    BOOST_TEST(http_status(error.code) == status);
    BOOST_TEST(name(error.code) == name(code));
    BOOST_TEST(name(error.result) == name(result));
}

void expect_final(const retry_decision& decision, std::uint16_t status, error_code code,
                  outcome result)
{
    const auto* const answer = std::get_if<final_answer>(&decision);
    BOOST_REQUIRE(answer != nullptr);
    expect_error(answer->error, status, code, result);
}

bool is_retry_avoiding(const retry_decision& decision, const base::upstream_id& upstream)
{
    return decision == retry_decision(retry_elsewhere{upstream});
}

config::service payments()
{
    config::service service;
    service.id = base::service_id("payments");
    service.kind = config::service_kind::plain;
    service.rules = {{.method = "POST", .path_prefix = "/status", .idempotent = true},
                     {.method = "GET", .path_prefix = "/confirm", .idempotent = false}};
    return service;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(retries, request_fixture)

// Guards against a call that runs twice: the upstream runs the call and closes the connection, and
// the router sends the call to the next upstream. A lost answer does not mean that the call did not
// run.
BOOST_AUTO_TEST_CASE(a_lost_answer_of_a_non_idempotent_call_is_final_and_unknown)
{
    expect_final(after(end_kind::lost), 502, error_code::upstream_lost, outcome::unknown);
}

BOOST_AUTO_TEST_CASE(a_timeout_of_a_non_idempotent_call_is_final_and_unknown)
{
    expect_final(after(end_kind::timed_out), 504, error_code::upstream_timeout, outcome::unknown);
}

BOOST_AUTO_TEST_CASE(a_request_that_was_not_sent_is_retried_elsewhere_and_then_not_run)
{
    BOOST_TEST(is_retry_avoiding(after(end_kind::refused), first_upstream));
    BOOST_TEST(is_retry_avoiding(after(end_kind::not_sent, 0, second_upstream), second_upstream));
    expect_final(after(end_kind::not_started, 503), 503, error_code::upstream_unavailable,
                 outcome::not_run);
}

// Guards against reporting "not run" for a call that ran: the answer to the first attempt is lost
// and the retry is refused. The outcome must not depend on the last attempt alone.
BOOST_AUTO_TEST_CASE(a_refused_retry_does_not_undo_a_lost_attempt)
{
    situation.idempotent = true;
    BOOST_TEST(is_retry_avoiding(after(end_kind::lost), first_upstream));
    situation.budget_left = false;
    expect_final(after(end_kind::refused), 502, error_code::upstream_lost, outcome::unknown);
}

BOOST_AUTO_TEST_CASE(no_attempt_begins_past_the_deadline)
{
    situation.idempotent = true;
    situation.now = situation.deadline;
    expect_final(after(end_kind::refused), 503, error_code::wait_expired, outcome::not_run);
    expect_final(after(end_kind::lost), 504, error_code::upstream_timeout, outcome::unknown);
    expect_final(policy.decide_expired(record, 0), 504, error_code::upstream_timeout,
                 outcome::unknown);
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_for_a_caller_that_disconnected)
{
    situation.idempotent = true;
    situation.caller_present = false;
    BOOST_TEST(std::holds_alternative<final_answer>(after(end_kind::refused)));
}

// Guards against an answer that mixes the answers of two upstreams: bytes are relayed, the upstream
// is lost, and the request is sent again although bytes were relayed, so that the second answer
// follows the first bytes.
BOOST_AUTO_TEST_CASE(after_bytes_were_relayed_a_stream_is_resumed_or_aborted)
{
    situation.idempotent = true;
    situation.bytes_sent_to_caller = 900;
    situation.resumable_from_token = 31;
    BOOST_TEST((after(end_kind::lost) ==
                retry_decision(resume_stream{.from_token = 31, .avoid = first_upstream})));
    situation.resumable_from_token.reset();
    const auto decision = after(end_kind::refused, 0, second_upstream);
    const auto* const broken = std::get_if<abort_answer>(&decision);
    BOOST_REQUIRE(broken != nullptr);
    expect_error(broken->error, 502, error_code::upstream_lost, outcome::unknown);
}

BOOST_AUTO_TEST_CASE(whole_answers_are_delivered_and_server_errors_tried_elsewhere_if_idempotent)
{
    BOOST_TEST((after(end_kind::answered, 503) == retry_decision(deliver{})));
    situation.idempotent = true;
    BOOST_TEST(is_retry_avoiding(after(end_kind::answered, 503), first_upstream));
    BOOST_TEST((after(end_kind::answered, 503) == retry_decision(deliver{})));
    BOOST_TEST((after(end_kind::answered, 404) == retry_decision(deliver{})));
}

// Guards against relaying a stale answer: an attempt is given up, a second one runs, and then the
// answer to the first one arrives. Answers are matched by attempt, not by request.
BOOST_AUTO_TEST_CASE(a_late_end_of_an_earlier_attempt_or_incarnation_is_dropped)
{
    after(end_kind::timed_out);
    const auto second = record.begin(second_upstream);
    auto first = second;
    first.count = 1;
    auto earlier_incarnation = second;
    earlier_incarnation.router.life = base::incarnation{6};
    BOOST_TEST(!record.end(first, {.kind = end_kind::answered, .status = 200}, 0));
    BOOST_TEST(!record.end(earlier_incarnation, {.kind = end_kind::answered, .status = 200}, 0));
    BOOST_TEST(record.is_running(second));
    BOOST_TEST(name(record.overall_outcome()) == "unknown");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(texts)

BOOST_AUTO_TEST_CASE(attempt_ids_round_trip_and_other_texts_are_rejected)
{
    const attempt_id id{.router = {base::node_id("zone-a.r1"), base::incarnation{1764699000123}},
                        .request = base::request_number{42},
                        .count = 2};
    BOOST_TEST(to_text(id) == "zone-a.r1.1764699000123.42.2");
    BOOST_TEST((parse_attempt_id(to_text(id)) == id));
    for (const char* text : {"", "r1", "1.2.3", "r1.1.2", ".1.2.3", "r1.01.2.3", "r1.1.2.-3",
                             "r1.1.2.4294967296", "r1.1.2.3 ", "r 1.1.2.3"})
    {
        BOOST_TEST(!parse_attempt_id(text), text);
    }
}

BOOST_AUTO_TEST_CASE(an_error_body_has_the_stable_members)
{
    const auto error = make_caller_error(error_code::store_unavailable, "Say \"when\".",
                                         std::chrono::milliseconds(1200));
    BOOST_TEST(to_json(error, base::request_id("q-1")) ==
               R"({"error":{"code":"store_unavailable","message":"Say \"when\".",)"
               R"("outcome":"not_run","request_id":"q-1","type":"server_error"}})");
    BOOST_TEST(retry_after_header(error).value() == "2");
}

BOOST_AUTO_TEST_CASE(each_code_has_its_own_row_and_503_always_means_not_run)
{
    for (int number = 0; number <= static_cast<int>(error_code::upstream_timeout); ++number)
    {
        const auto code = static_cast<error_code>(number);
        BOOST_TEST(std::string(name(code)) != "");
        BOOST_TEST((http_status(code) != 503 || default_outcome(code) == outcome::not_run));
    }
    BOOST_TEST(http_status(error_code::upstream_timeout) == 504);
    BOOST_TEST(name(error_code::headers_too_large) == "headers_too_large");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(calls)

BOOST_AUTO_TEST_CASE(rules_take_precedence_over_methods_and_match_whole_segments)
{
    const auto service = payments();
    BOOST_TEST(is_idempotent(service, "GET", "/receipts/4"));
    BOOST_TEST(!is_idempotent(service, "POST", "/receipts"));
    BOOST_TEST(is_idempotent(service, "POST", "/status/4?full=1"));
    BOOST_TEST(!is_idempotent(service, "POST", "/status-change"));
    BOOST_TEST(!is_idempotent(service, "GET", "/confirm"));
    BOOST_TEST(!is_idempotent(service, "get", "/receipts"));
    BOOST_TEST(is_idempotent(config::service{}, "POST", "/v1/chat/completions"));
}

// Guards against repeating GET /confirm, which is not idempotent, when it is written as /%63onfirm
// or /a/../confirm: the upstream reads these as /confirm, but no rule matches them.
BOOST_AUTO_TEST_CASE(an_ambiguous_path_is_not_idempotent)
{
    for (const char* path : {"/%63onfirm", "/a/../confirm", "//confirm", "/confirm;a", "\\confirm"})
    {
        BOOST_TEST(!is_idempotent(payments(), "GET", path), path);
    }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace caraway::attempts
