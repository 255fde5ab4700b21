/* Offers and grants of one upstream's slots. The names are those of src/libcaraway/scheduling; README.md
 * tells more. One router, which may restart, an owner, which may be replaced, and a competitor that
 * takes whatever slot the owner believes to be free. */

#define LIVES 2
#define OWNERS 2
#define MOST_GRANTS 2       /* to one life of the router, by one owner */
#define UNDER_WAY 2         /* datagrams of one kind; with more, the oldest is lost */

#define BIT(n) (1 << ((n) - 1))
#define HELD (held[0] + held[1])

/* The set-up. */
byte window = 2;                    /* slots that the owner may have out */
byte most_reports = 3;              /* of one life, to one owner */
byte requests = 2;                  /* that wait when a life begins */
bool may_restart;
bool may_be_replaced;

/* The router. */
byte life;
byte waiting;
byte held[OWNERS];                  /* attempt_table: what runs at the upstream, by who granted it */
byte known_owner;                   /* the view */
byte sequence;
byte last_grant[OWNERS];            /* grant_receiver */

/* The present owner; what it knows is kept by the router's life. */
byte owner;
byte last_number[LIVES];            /* grant_sender */
byte open[LIVES];                   /* grant_sender: unacknowledged, a bit a number */
byte reported[LIVES];               /* slot_ledger: held */
byte seen[LIVES];                   /* demand_tracker: the last report's sequence */
bool dead;                          /* the view: the first life has ended */

/* The competitor. */
byte rival[OWNERS];                 /* slots that it holds, by who granted them */
byte rival_reported;

bool replaced;                      /* two owners' grants may be out */
byte bound[4];                      /* by owner * LIVES + life: numbers that were bound */

/* Datagrams under way: any may be lost, repeated, late or overtaken. */
chan reports = [UNDER_WAY] of { byte, byte, byte, byte, byte };  /* life, sequence, owner, last, held */
chan lists = [UNDER_WAY] of { byte, byte, byte };                /* owner, life, grants */

byte m_life, m_sequence, m_owner, m_last, m_held, m_grants, number;

#define OPEN(l) ((open[l] & 1) + (open[l] >> 1))
#define USED (reported[0] + reported[1] + rival_reported + OPEN(0) + OPEN(1))

inline forget() {
    m_life = 0; m_sequence = 0; m_owner = 0; m_last = 0; m_held = 0; m_grants = 0; number = 0
}

/* Each owner keeps to the window; while none follows another, so does the sum. */
inline check_window() {
    assert(held[0] + rival[0] <= window && held[1] + rival[1] <= window);
    assert(HELD + rival[0] + rival[1] <= window || replaced)
}

/* router_role::make_report */
inline send_report() {
    if
    :: len(reports) == UNDER_WAY -> reports?_, _, _, _, _
    :: len(reports) < UNDER_WAY
    fi;
    sequence++;
#ifdef NO_HOLDINGS_WITH_ACKNOWLEDGEMENT
    reports!life, sequence, known_owner, last_grant[known_owner], 0
#else
    reports!life, sequence, known_owner, last_grant[known_owner], HELD
#endif
}

/* owner_role::send_grants: all that is not acknowledged. */
inline send_list(to) {
    if
    :: len(lists) == UNDER_WAY -> lists?_, _, _
    :: len(lists) < UNDER_WAY
    fi;
    lists!owner, to, open[to]
}

/* owner_role::receive */
inline take_report() {
    if
#ifndef NO_REFUSAL_OF_DEAD
    :: dead && m_life == 0
#endif
#ifndef NO_OWNER_LIFE_IN_REPORT
    :: m_owner != owner
#endif
#ifndef NO_SEQUENCE_IN_REPORT
    :: m_sequence <= seen[m_life]
#endif
    :: else ->
        seen[m_life] = m_sequence;
        reported[m_life] = m_held;
        open[m_life] = open[m_life] & ~((1 << m_last) - 1)
    fi
}

/* router_role::bind */
inline bind() {
    waiting--;
    held[m_owner]++;
    assert((bound[m_owner * LIVES + m_life] & BIT(number)) == 0);
    bound[m_owner * LIVES + m_life] = bound[m_owner * LIVES + m_life] | BIT(number);
    check_window()
}

/* router_role::receive: handles each number once, in order; binds, or declines by acknowledging. */
inline take_list() {
    if
#ifndef NO_ROUTER_LIFE_IN_LIST
    :: m_life != life
#endif
    :: else ->
        number = 1;
        do
        :: number <= MOST_GRANTS ->
            if
#ifdef NO_HANDLED_ONCE
            :: m_grants & BIT(number) ->
#else
            :: (m_grants & BIT(number)) && number > last_grant[m_owner] ->
#endif
                last_grant[m_owner] = number;
                if
                :: waiting > 0 -> bind()
                :: else
                fi
            :: else
            fi;
            number++
        :: else -> break
        od
    fi
}

inline receive_list() {
    if
    :: lists?m_owner, m_life, m_grants
    :: lists?<m_owner, m_life, m_grants>        /* and once more later */
    fi;
    take_list();
    forget()
}

/* The second datagram arrives, and the first one is still under way. */
inline overtake() {
    reports?m_life, m_sequence, m_owner, m_last, m_held;
    reports!m_life, m_sequence, m_owner, m_last, m_held;
    reports?m_life, m_sequence, m_owner, m_last, m_held
}

inline receive_report() {
    if
    :: reports?m_life, m_sequence, m_owner, m_last, m_held
    :: reports?<m_life, m_sequence, m_owner, m_last, m_held>
    :: len(reports) == 2 -> overtake()
    fi;
    take_report();
    forget()
}

/* owner_role::grant_free_slots */
inline grant_one(to) {
    last_number[to]++;
    open[to] = open[to] | BIT(last_number[to]);
    send_list(to)
}

/* owner_role::view_changed */
inline declare_dead() {
    dead = true;
#ifndef NO_DROP_OF_DEAD
    open[0] = 0; reported[0] = 0;
#endif
    seen[0] = 0
}

/* The router dies, its connections with it, and begins anew. */
inline restart() {
    may_restart = false;
    life = 1; waiting = requests; sequence = 0; known_owner = owner;
    held[0] = 0; held[1] = 0; last_grant[0] = 0; last_grant[1] = 0
}

/* Another life or node owns the upstream, with empty memory. */
inline replace_owner() {
    may_be_replaced = false;
    owner = 1; replaced = true; rival_reported = 0;
    last_number[0] = 0; open[0] = 0; reported[0] = 0; seen[0] = 0;
    last_number[1] = 0; open[1] = 0; reported[1] = 0; seen[1] = 0
}

inline calm_report() {
    sequence++;
    m_life = life; m_sequence = sequence; m_owner = owner; m_last = last_grant[owner]; m_held = 0;
    take_report();
    forget()
}

/* When work has ended and messages pass again, one exchange brings every slot back. */
inline calm() {
    held[0] = 0; held[1] = 0; waiting = 0; rival[0] = 0; rival[1] = 0; rival_reported = 0;
    if
    :: life == 1 && !dead -> declare_dead()
    :: else
    fi;
    if
    :: known_owner != owner -> known_owner = owner; sequence = 0
    :: else
    fi;
    calm_report();
    m_owner = owner; m_life = life;
#ifndef NO_REPEAT_OF_LISTS
    m_grants = open[life];
#endif
    take_list();
    forget();
#ifndef NO_REPORT_AFTER_REPEAT
    calm_report();
#endif
    assert(USED == 0)
}

active proctype fleet() {
    if
    :: may_restart = true
    :: may_be_replaced = true
    :: may_restart = true; may_be_replaced = true;      /* both, with less to do */
        window = 1; most_reports = 2; requests = 1
    fi;
    waiting = requests;
    do
    :: atomic { USED < window && !dead && last_number[0] < MOST_GRANTS -> grant_one(0) }
    :: atomic { USED < window && life == 1 && last_number[1] < MOST_GRANTS -> grant_one(1) }
    :: atomic { open[0] && !dead -> send_list(0) }
    :: atomic { open[1] -> send_list(1) }
    :: atomic { nempty(lists) -> receive_list() }
    :: atomic { sequence < most_reports -> send_report() }
    :: atomic { nempty(reports) -> receive_report() }
    :: atomic { held[0] > 0 -> held[0]-- }                      /* a request ends */
    :: atomic { held[1] > 0 -> held[1]-- }
    :: atomic { USED < window && rival[owner] < window ->
        rival[owner]++; rival_reported++; check_window() }
    :: atomic { rival[0] + rival[1] > 0 && rival_reported == rival[0] + rival[1] ->
        rival[0] = 0; rival[1] = 0; rival_reported = 0 }
    :: atomic { rival_reported < rival[0] + rival[1] -> rival_reported = rival[0] + rival[1] }
    :: atomic { may_restart -> restart() }
    :: atomic { life == 1 && !dead -> declare_dead() }
    :: atomic { may_be_replaced -> replace_owner() }
    :: atomic { known_owner != owner -> known_owner = owner; sequence = 0 }
    :: atomic { true -> calm(); break }
    od
}
