#include "sample.hpp"

#include "libcaraway/config/daemon_settings.hpp"
#include "libcaraway/config/schema.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace caraway::config;
using namespace caraway::config::test;

namespace
{

const QByteArray minimal_settings = R"({"node": "n1", "address": "127.0.0.2", "zone": "a",
                             "fleet_key": "a key that nobody shows"})";

settings_report with_override(const std::string& text)
{
    const auto one = parse_override(text);
    BOOST_TEST_REQUIRE(one.has_value());
    return read_settings("node.json", minimal_settings, {*one});
}

}  // namespace

BOOST_AUTO_TEST_SUITE(settings)

BOOST_AUTO_TEST_CASE(omitted_settings_have_defaults_and_overrides_take_precedence)
{
    const settings_report plain = read_settings("node.json", minimal_settings);
    BOOST_TEST_REQUIRE(plain.settings.has_value(), to_text(plain.found));
    BOOST_TEST(plain.settings->ports.callers == 8080);
    BOOST_TEST(plain.settings->http.body_bytes == 8U << 20U);
    BOOST_TEST(with_override("/ports/callers=0").settings->ports.callers == 0);
    BOOST_TEST(with_override("/zone=b").settings->zone.str() == "b");
    BOOST_TEST((with_override("/log/format=json").settings->log.format == log_format::json));
    const auto seeds = with_override("/seeds=[\"127.0.0.3:7946\",\"[::1]:1\"]").settings->seeds;
    BOOST_TEST_REQUIRE(seeds.size() == 2U);
    BOOST_TEST((seeds[1] == seed_address{"::1", 1}));
}

// Guards against a process that silently runs with other settings than its operator wrote.
BOOST_AUTO_TEST_CASE(bad_settings_are_refused_with_pointer_and_expectation)
{
    const std::pair<const char*, const char*> table[] = {
        {"/ports/caller=1", "/ports/caller: unknown member; expected one of admin"},
        {"/ports/callers=70000", "/ports/callers: expected an integer from 0 to 65535"},
        {"/address=localhost", "/address: expected an IP address"},
        {"/platform/host=platform", "/platform/host: expected an IP address"},
        {"/seeds=[\"127.0.0.1\"]", "/seeds/0: expected address:port"},
        {"/seeds=[\"::1:80\"]", "/seeds/0: expected address:port"},
        {"/log/level=loud", "/log/level: expected one of \"debug\""},
        {"/http={", "/http: expected a JSON value"},
        {"/node/name=x", "/node/name: expected a path through objects"},
        {"/fleet_key_file=/etc/key", "expected either fleet_key or fleet_key_file"},
        {"/bootstrap_operators={\"a\":{}}", "/bootstrap_operators/a/key_hashes: missing"},
    };
    for (const auto& [text, expected] : table)
    {
        const settings_report report = with_override(text);
        BOOST_TEST(!report.settings.has_value());
        BOOST_TEST(to_text(report.found).find(expected) != std::string::npos,
                   text << " gave: " << to_text(report.found));
    }
    BOOST_TEST(!parse_override("ports=1"));
    BOOST_TEST(!parse_override(""));
    const settings_report duplicate = read_settings("f", "{\"node\": \"a\", \"node\": \"b\"}");
    BOOST_TEST(to_text(duplicate.found).find("stands twice") != std::string::npos);
}

// Guards against the fleet key in a log or in a dump.
BOOST_AUTO_TEST_CASE(secrets_are_never_shown)
{
    const std::string secret = "a key that nobody shows";
    const settings_report report = read_settings("node.json", minimal_settings);
    BOOST_TEST(report.settings->fleet_key.key == secret);
    for (const QJsonObject& shown : {report.redacted, redacted(*report.settings)})
    {
        BOOST_TEST(QJsonDocument(shown).toJson().toStdString().find(secret) == std::string::npos);
    }
    const settings_report bad = with_override("/fleet_key=short secret");
    BOOST_TEST(!bad.found.empty());
    BOOST_TEST(to_text(bad.found).find("short secret") == std::string::npos);
}

// Guards against settings that are missing from a process's dump.
BOOST_AUTO_TEST_CASE(the_redacted_view_shows_every_setting)
{
    const QJsonObject schema = QJsonDocument::fromJson(schema_text(schema_name::settings)).object();
    const QJsonObject groups = schema["properties"].toObject();
    const QJsonObject shown = redacted(*read_settings("node.json", minimal_settings).settings);
    for (const QString& group : groups.keys())
    {
        const QJsonObject members = groups[group].toObject()["properties"].toObject();
        BOOST_TEST((shown.contains(group) || group == "fleet_key"), group.toStdString());
        for (const QString& member : members.keys())
        {
            BOOST_TEST(shown[group].toObject().contains(member), member.toStdString());
            // The defaults in the schema and in the code must be equal.
            const QJsonValue schema_default = members[member].toObject()["default"];
            BOOST_TEST((shown[group].toObject()[member] == schema_default), member.toStdString());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
