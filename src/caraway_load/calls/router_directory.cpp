#include "caraway_load/calls/router_directory.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <memory>
#include <utility>

namespace caraway_load::calls
{

namespace
{

constexpr std::chrono::milliseconds ask_patience{1000};
constexpr std::chrono::milliseconds pause_after_all_failed{200};
constexpr int status_ok = 200;

QByteArray entry_request(const target& where)
{
    return "GET /v1/entry HTTP/1.1\r\nHost: " + QByteArray::fromStdString(where.host) + "\r\n\r\n";
}

}  // namespace

router_directory::router_directory(std::vector<target> routers, connection_pool& connections)
    : routers_(std::move(routers)), connections_(connections), choices_(routers_.size())
{
    for (std::uint32_t home = 0; home < choices_.size(); ++home)
    {
        choices_[home].current = home;
        choices_[home].next_asked = home;
    }
}

void router_directory::resolve(std::uint32_t home, resolved callback)
{
    choice& mine = choices_[home];
    const bool away = mine.current != home;
    const bool outdated = away && caraway::base::time_point::clock::now() >= mine.until;
    if (mine.known && !outdated)
    {
        callback(mine.current);
        return;
    }
    mine.waiting.push_back(std::move(callback));
    if (mine.asking)
    {
        return;
    }
    mine.asks = 0;
    // What was kept has run out: the near router is asked first.
    mine.next_asked = outdated ? home : mine.next_asked;
    ask(home);
}

void router_directory::failed(std::uint32_t home, std::uint32_t router)
{
    choice& mine = choices_[home];
    if (mine.current != router || !mine.known)
    {
        return;
    }
    mine.known = false;
    mine.next_asked = (router + 1) % static_cast<std::uint32_t>(routers_.size());
}

const target& router_directory::address(std::uint32_t router) const
{
    return routers_[router];
}

void router_directory::ask(std::uint32_t home)
{
    choice& mine = choices_[home];
    mine.asking = true;
    if (mine.asks++ >= routers_.size())
    {
        mine.asks = 0;
        QTimer::singleShot(pause_after_all_failed, &timers_, [this, home] { ask(home); });
        return;
    }
    const std::uint32_t router = mine.next_asked;
    mine.next_asked = (router + 1) % static_cast<std::uint32_t>(routers_.size());
    ask_router(home, router);
}

void router_directory::ask_router(std::uint32_t home, std::uint32_t router)
{
    const target& where = routers_[router];
    connection& link = connections_.take(where);
    auto answer = std::make_shared<QByteArray>();
    auto open = std::make_shared<bool>(true);
    link.send(entry_request(where),
              {.part = [answer](const auto&, const QByteArray& body) { *answer += body; },
               .whole =
                   [this, home, router, answer, open](const auto& head)
               {
                   *open = false;
                   head.status() == status_ok ? take_answer(home, router, *answer) : ask(home);
               },
               .broken =
                   [this, home, open](bool)
               {
                   *open = false;
                   ask(home);
               }});
    QTimer::singleShot(ask_patience, &timers_,
                       [this, home, open, &link]
                       {
                           if (std::exchange(*open, false))
                           {
                               link.abandon();
                               ask(home);
                           }
                       });
}

void router_directory::take_answer(std::uint32_t home, std::uint32_t asked, const QByteArray& body)
{
    const QJsonObject answer = QJsonDocument::fromJson(body).object();
    const std::chrono::milliseconds keep(answer["keep_ms"].toInt());
    const QJsonArray addresses = answer["addresses"].toArray();
    if (addresses.isEmpty())
    {
        ask(home);
        return;
    }
    std::uint32_t first = asked;
    bool found = false;
    for (const auto& entry : addresses)
    {
        const QJsonObject each = entry.toObject();
        const std::uint32_t router = index_of({each["address"].toString().toStdString(),
                                               static_cast<std::uint16_t>(each["port"].toInt())});
        if (router == home)
        {
            settle(home, home, keep);
            return;
        }
        first = found || router == routers_.size() ? first : router;
        found = found || router != routers_.size();
    }
    settle(home, first, keep);
}

void router_directory::settle(std::uint32_t home, std::uint32_t router,
                              std::chrono::milliseconds keep)
{
    choice& mine = choices_[home];
    mine.asking = false;
    mine.known = true;
    mine.current = router;
    mine.until = caraway::base::time_point::clock::now() + keep;
    for (const auto& callback : std::exchange(mine.waiting, {}))
    {
        callback(router);
    }
}

std::uint32_t router_directory::index_of(const target& where) const
{
    std::uint32_t index = 0;
    while (index < routers_.size() && routers_[index] != where)
    {
        ++index;
    }
    return index;
}

}  // namespace caraway_load::calls
