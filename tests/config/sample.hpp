#pragma once

#include "libcaraway/config/document.hpp"

#include <boost/test/unit_test.hpp>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <string>

namespace caraway::config::test
{

/// The hash of a test key that is unique per holder.
inline sha256_hex key(const std::string& holder)
{
    return sha256("key of " + QByteArray::fromStdString(holder));
}

inline QJsonObject account(const std::string& holder, bool may_propose, bool may_approve)
{
    return {{"key_hashes", QJsonArray{QString::fromStdString(key(holder))}},
            {"may_propose", may_propose},
            {"may_approve", may_approve}};
}

/// Ana may propose and approve, Bela and Chitra may approve, Dipu may do neither. The parts
/// operators and review require two approvals, workspaces none, all others one.
inline QJsonObject sample_json(double share = 1)
{
    return {
        {"workspaces",
         QJsonObject{{"rotas", QJsonObject{{"share", share},
                                           {"key_hashes",
                                            QJsonArray{QString::fromStdString(key("rotas"))}}}}}},
        {"services", QJsonObject{{"drafts", QJsonObject{{"kind", "model"}}}}},
        {"upstreams",
         QJsonObject{{"runner-1",
                      QJsonObject{{"service", "drafts"}, {"host", "127.0.0.9"}, {"port", 9000}}}}},
        {"operators", QJsonObject{{"ana", account("ana", true, true)},
                                  {"bela", account("bela", false, true)},
                                  {"chitra", account("chitra", false, true)},
                                  {"dipu", account("dipu", false, false)}}},
        {"review", QJsonArray{QJsonObject{{"part", "*"}, {"approvals", 1}},
                              QJsonObject{{"part", "workspaces"}, {"approvals", 0}},
                              QJsonObject{{"part", "operators"}, {"approvals", 2}},
                              QJsonObject{{"part", "review"}, {"approvals", 2}}}}};
}

inline QByteArray bytes(const QJsonObject& json)
{
    return QJsonDocument(json).toJson(QJsonDocument::Compact);
}

/// Checks a configuration and returns its document; the test fails when there are problems.
inline document made(const QJsonObject& json)
{
    check_report report = check_files({{"all.json", bytes(json)}});
    BOOST_TEST_REQUIRE(to_text(report.found) == "");
    return *report.checked;
}

/// The configuration with one member set, addressed by a path of member names.
inline QJsonObject with(QJsonObject json, const QStringList& path, const QJsonValue& value)
{
    if (path.size() == 1)
    {
        json[path.front()] = value;
        return json;
    }
    json[path.front()] = with(json[path.front()].toObject(), path.mid(1), value);
    return json;
}

}  // namespace caraway::config::test
