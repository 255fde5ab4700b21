#include "sample.hpp"

#include "libcaraway/config/document.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace caraway::config;
using namespace caraway::config::test;

namespace
{

/// Whether there is a problem at this location whose message contains `message`.
bool has_problem(const problems& found, const std::string& file, const std::string& pointer,
                 const std::string& message)
{
    return std::any_of(found.begin(), found.end(),
                       [&](const problem& one)
                       {
                           return one.file == file && one.pointer == pointer &&
                                  one.message.find(message) != std::string::npos;
                       });
}

problems check_beside_sample(const QByteArray& second)
{
    return check_files({{"10-all.json", bytes(sample_json())}, {"20-second.json", second}}).found;
}

struct bad_file
{
    QByteArray text;
    std::string pointer;
    std::string message;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(checks)

// Guards against an operator's mistake that comes into force, or is refused without its location.
// Each of these texts is the second file of a folder whose first file is valid.
BOOST_AUTO_TEST_CASE(bad_files_are_refused_with_file_pointer_and_expectation)
{
    const QByteArray digits = QByteArray::fromStdString(key("rotas"));
    const bad_file table[] = {
        {"{\"workspaces\": {", "", "invalid JSON"},
        {"", "", "invalid JSON"},
        {"[1]", "", "expected an object"},
        {"{\"a\": \"\xff\"}", "", "invalid UTF-8"},
        {"{\n  \"a\": ?}", "", "line 2"},
        {"{\"services\": {\"s\": {\"kind\": \"plain\", \"kind\": \"model\"}}}", "/services/s/kind",
         "stands twice"},
        {"{\"a\": 1, \"\\u0061\": 2}", "/a", "stands twice"},
        {QByteArray(40, '[').prepend("{\"a\":") + QByteArray(40, ']') + "}",
         "/a/0/0/0/0/0/0/0/0/0/0/0/0/0/0/0", "nested deeper than 16"},
        {"{\"tenants\": {}}", "/tenants",
         "unknown member; expected one of operators, review, services, upstreams, workspaces"},
        {"{\"workspaces\": {\"rotas\": {\"shares\": 2}}}", "/workspaces/rotas/shares",
         "unknown member"},
        {"{\"workspaces\": {\"rotas\": {\"share\": 0}}}", "/workspaces/rotas/share",
         "expected a number above 0 to 1000000; found 0"},
        {"{\"workspaces\": {\"rotas\": {\"share\": \"2\"}}}", "/workspaces/rotas/share",
         "found \"2\""},
        {"{\"workspaces\": {\"rotas\": {\"max_waiting\": 1.5}}}", "/workspaces/rotas/max_waiting",
         "expected an integer"},
        {"{\"workspaces\": {\"rotas\": {\"services\": [\"none\"]}}}",
         "/workspaces/rotas/services/0", "there is no \"none\""},
        {"{\"workspaces\": {\"rotas\": {\"key_hashes\": [\"a secret\"]}}}",
         "/workspaces/rotas/key_hashes/0", "8 characters, not shown"},
        {"{\"workspaces\": {\"other\": {\"key_hashes\": [\"" + digits + "\"]}}}",
         "/workspaces/rotas/key_hashes/0", "expected a key of its own"},
        {"{\"workspaces\": {\"a b\": {\"key_hashes\": []}}}", "/workspaces/a b", "a name like"},
        {"{\"services\": {\"a/b\": {\"kind\": \"plain\"}}}", "/services/a~1b", "no '/'"},
        {"{\"services\": {\"s\": {}}}", "/services/s/kind", "missing; expected one of \"model\""},
        {"{\"services\": {\"drafts\": null}}", "/upstreams/runner-1/service", "there is no"},
        {"{\"upstreams\": {\"runner-1\": {\"port\": 70000}}}", "/upstreams/runner-1/port",
         "expected an integer from 1 to 65535; found 70000"},
        {"{\"upstreams\": {\"runner-1\": {\"host\": \"localhost\"}}}", "/upstreams/runner-1/host",
         "expected an IP address"},
        {"{\"upstreams\": {\"runner-1\": {\"port\": null}}}", "/upstreams/runner-1/port",
         "missing"},
        {"{\"upstreams\": {\"z\": {\"service\": \"drafts\", \"host\": \"127.0.0.9\", \"port\": "
         "9000}}}",
         "/upstreams/z/port", "/upstreams/runner-1 has the same"},
        {"{\"review\": [{\"part\": \"keys\", \"approvals\": 1}]}", "/review/0/part", "one of"},
        {"{\"review\": [{\"part\": \"*\", \"approvals\": 1}, {\"part\": \"*\", \"approvals\": 0}]}",
         "/review/1/part", "one rule per part"},
    };
    for (const bad_file& bad : table)
    {
        const problems found = check_beside_sample(bad.text);
        const bool in_first = bad.pointer == "/workspaces/rotas/key_hashes/0" &&
                              bad.message == "expected a key of its own";
        const bool in_upstream = bad.pointer == "/upstreams/runner-1/service";
        const std::string file = in_first || in_upstream ? "10-all.json" : "20-second.json";
        BOOST_TEST(has_problem(found, file, bad.pointer, bad.message),
                   bad.text.toStdString() << " gave: " << to_text(found));
    }
}

// Guards against an accepted change after which no operator can change the configuration.
BOOST_AUTO_TEST_CASE(nobody_can_be_locked_out)
{
    const char* const nobody_proposes = "{\"operators\": {\"ana\": {\"may_propose\": false}}}";
    BOOST_TEST(has_problem(check_beside_sample(nobody_proposes), "10-all.json", "/operators",
                           "may propose"));
    // Ana proposes, so only Bela remains to approve a change that requires two approvals.
    const char* const too_few = "{\"operators\": {\"chitra\": null}}";
    BOOST_TEST(has_problem(check_beside_sample(too_few), "10-all.json", "/operators",
                           "expected 2 operators with a key who may approve beside the proposer"));
    const char* const no_key = "{\"operators\": {\"chitra\": {\"key_hashes\": []}}}";
    BOOST_TEST(!check_beside_sample(no_key).empty());
    BOOST_TEST(check_beside_sample("{\"operators\": {\"dipu\": null}}").empty());
}

BOOST_AUTO_TEST_CASE(all_problems_are_reported_at_once)
{
    const problems found = check_beside_sample(
        "{\"x\": 1, \"y\": 1, \"services\": {\"s\": {}}, \"upstreams\": {\"u\": {\"service\": "
        "\"none\", \"host\": \"127.0.0.1\", \"port\": 0}}}");
    BOOST_TEST(found.size() == 5U, to_text(found));
}

// Guards against consequential errors: a file with a stray comma is reported along with a dozen
// unknown names, all of which are defined in that file.
BOOST_AUTO_TEST_CASE(a_file_left_out_does_not_cause_further_problems)
{
    QJsonObject rest = sample_json();
    rest.remove("services");
    const problems found =
        check_files({{"a.json", bytes(rest)}, {"b.json", "{\"services\": {},}"}}).found;
    BOOST_TEST(found.size() == 1U, to_text(found));
}

// Guards against a crash on a long string. Cause: std::regex recurses once per character in an
// unbounded repetition.
BOOST_AUTO_TEST_CASE(long_strings_and_names_are_refused_not_fatal)
{
    const QByteArray endless(900000, 'a');
    const problems found = check_beside_sample("{\"workspaces\": {\"" + endless.left(400000) +
                                               "\": {}, \"rotas\": {\"key_hashes\": [\"" +
                                               endless.left(400000) + "\"]}}}");
    BOOST_TEST(found.size() == 2U);
    BOOST_TEST(
        has_problem(check_files({{"a", endless + endless}}).found, "a", "", "expected at most"));
}

BOOST_AUTO_TEST_CASE(files_are_merged_in_the_order_of_their_names)
{
    const check_report report = check_files(
        {{"20.json", "{\"workspaces\": {\"rotas\": {\"share\": 3}, \"b\": {\"key_hashes\": []}}}"},
         {"30.json", "{\"workspaces\": {\"b\": null}, \"review\": []}"},
         {"10.json", bytes(sample_json())}});
    BOOST_TEST_REQUIRE(report.checked.has_value(), to_text(report.found));
    const configuration& content = report.checked->content();
    BOOST_TEST(content.workspaces.size() == 1U);
    const workspace& rotas = content.workspaces.at(caraway::base::workspace_id("rotas"));
    BOOST_TEST(rotas.weight.value() == 3);
    BOOST_TEST(rotas.key_hashes.size() == 1U);
    BOOST_TEST(content.review.empty());
}

// Guards against a truncated or altered document in force.
BOOST_AUTO_TEST_CASE(a_document_that_does_not_match_its_hash_is_corrupt)
{
    const document whole = made(sample_json());
    const auto half = document::from_bytes(whole.bytes().left(100), whole.hash());
    BOOST_TEST((half.error().code == caraway::base::errc::corrupt));
    const QByteArray unknown = "{\"tenants\":{}}";
    const auto strange = document::from_bytes(unknown, sha256(unknown));
    BOOST_TEST((strange.error().code == caraway::base::errc::invalid_argument));
    const auto again = document::from_bytes(whole.bytes(), whole.hash());
    BOOST_TEST(again.value().bytes() == whole.bytes());
}

BOOST_AUTO_TEST_CASE(canonical_bytes_do_not_depend_on_the_files)
{
    const QJsonObject all = sample_json();
    std::vector<source_file> parts;
    for (const QString& part : all.keys())
    {
        parts.push_back(
            {part.toStdString(), QJsonDocument(QJsonObject{{part, all[part]}}).toJson()});
    }
    BOOST_TEST(check_files(parts).checked->hash() == made(all).hash());
}

BOOST_AUTO_TEST_SUITE_END()
