#include "sample.hpp"

#include "libcaraway/config/diff.hpp"
#include "libcaraway/config/records.hpp"
#include "libcaraway/config/review_policy.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace caraway::config;
using namespace caraway::config::test;

BOOST_AUTO_TEST_SUITE(reviews)

// Guards against differences that don't show what a change does, or that show a whole key hash.
BOOST_AUTO_TEST_CASE(differences_are_typed_and_show_no_whole_hash)
{
    QJsonObject after = with(sample_json(2), {"operators", "dipu"}, QJsonValue::Undefined);
    after = with(after, {"services", "notices"}, QJsonObject{{"kind", "plain"}});
    after = with(after, {"workspaces", "rotas", "key_hashes"},
                 QJsonArray{QString::fromStdString(key("new"))});
    const auto found = diff(sample_json(), after);
    BOOST_TEST_REQUIRE(found.size() == 4U);
    BOOST_TEST((found[0].kind == change_kind::removed));
    BOOST_TEST(found[0].pointer == "/operators/dipu");
    BOOST_TEST((found[1].kind == change_kind::added));
    BOOST_TEST(found[1].after == "{\"kind\":\"plain\"}");
    BOOST_TEST(found[2].after == "[\"" + key("new").substr(0, 8) + "...\"]");
    BOOST_TEST(found[3].pointer == "/workspaces/rotas/share");
    BOOST_TEST(found[3].id == "rotas");
    BOOST_TEST(found[3].before == "1");
    BOOST_TEST(found[3].after == "2");
    for (const difference& one : found)
    {
        BOOST_TEST((one.before + one.after).find(key("dipu")) == std::string::npos);
    }
}

// Guards against a change that avoids a strict rule by also touching a part with a lax rule.
BOOST_AUTO_TEST_CASE(the_strictest_of_the_touched_parts_decides)
{
    const configuration accepted = made(sample_json()).content();
    BOOST_TEST(required_approvals(accepted, {"workspaces"}) == 0U);
    BOOST_TEST(required_approvals(accepted, {"workspaces", "upstreams"}) == 1U);
    BOOST_TEST(required_approvals(accepted, {"workspaces", "review"}) == 2U);
    BOOST_TEST(required_approvals(configuration(), {"services"}) == default_approvals);
}

// Guards against a truncated or altered row that is accepted as a valid record.
BOOST_AUTO_TEST_CASE(rows_that_cannot_be_read_are_corrupt)
{
    const change_record change{
        .id = base::change_id("c"),
        .base_version = base::config_version(3),
        .hash = key("x"),
        .proposer = base::operator_id("ana"),
        .note = "why",
        .approvals = {{base::operator_id("bela"), key("x"), base::config_version(3), "t"}},
        .state = change_state::rejected};
    const QByteArray body = to_json(change);
    BOOST_TEST((parse_change(body).value() == change));
    BOOST_TEST(parse_change(body.left(body.size() - 1)).has_error());
    BOOST_TEST(parse_change(QByteArray(body).replace("rejected", "agreed")).has_error());
    BOOST_TEST(parse_change(QByteArray(body).replace("\"bela\"", "7")).has_error());
    BOOST_TEST(parse_change("[]").has_error());
    const head_record head{base::config_version(7), key("x"), base::change_id("c")};
    BOOST_TEST((parse_head(to_json(head)).value() == head));
    BOOST_TEST(parse_head(to_json(head).replace(":7", ":-7")).has_error());
    BOOST_TEST(parse_head(to_json(head).replace(":7", ":0")).has_error());
    BOOST_TEST(log_key(base::config_version(7)).sk == "log#00000000000000000007");
}

BOOST_AUTO_TEST_SUITE_END()
