/* Orders to one engine under a lease in the table service. README.md tells more. Two nodes may hold the
 * lease in turn; each may stand still between any two of its steps for as long as it likes. */

#define NODES 2
#define NOBODY 2
#define ACQUISITIONS 2              /* tries of a node */
#define ORDERS 2                    /* of one acquisition */

/* In ticks of the nodes' monotonic clocks, which run equally fast but agree on nothing else. */
#define ORDER_LIMIT 1       /* from before the lease is read until the order is sent */
#define TRANSIT_LIMIT 1     /* from sending until the engine has it, or never will */
#define TAKEOVER_WAIT (ORDER_LIMIT + TRANSIT_LIMIT)

bool checks_fencing;                /* config::upstream::checks_fencing */

/* Ticks since; they stand still once they make no difference any more. */
byte since_acquired[NODES];
byte since_asked[NODES];

/* The row lease#<name>: each write is conditional on its rev, which rises with the fence. */
byte row_holder = NOBODY;
byte row_fence;

/* Orders under way: any may be lost or overtaken. */
#define SLOTS 2
bool used[SLOTS];
byte order_age[SLOTS];              /* 0 at sending; then the ticks since */
byte order_fence[SLOTS];
byte order_serial[SLOTS];

/* The engine. */
byte largest_fence;
byte effective;                     /* serial of the order in effect */

/* Which order is newer: by the acquisitions' order in the table, then by the holder's own. */
byte acquisitions;
#define SERIAL(acquisition, number) ((acquisition) * 4 + (number))

/* An order that must arrive now holds time up. Where the engine checks the number, time makes no
 * difference, and an order may be late without bound. */
#define IN_TIME(s) (!used[s] || order_age[s] < TRANSIT_LIMIT)

inline grow(age, most) {
    if
    :: age < most -> age++
    :: else
    fi
}

active proctype clock() {
end:
    do
    :: atomic { !checks_fencing && IN_TIME(0) && IN_TIME(1) ->
        if
        :: used[0] -> order_age[0]++
        :: else
        fi;
        if
        :: used[1] -> order_age[1]++
        :: else
        fi;
        grow(since_acquired[0], TAKEOVER_WAIT + 1); grow(since_acquired[1], TAKEOVER_WAIT + 1);
        grow(since_asked[0], ORDER_LIMIT + 1); grow(since_asked[1], ORDER_LIMIT + 1) }
    od
}

inline forget_order(s) {
    used[s] = false; order_age[s] = 0; order_fence[s] = 0; order_serial[s] = 0
}

inline take(s) {
    if
#ifndef NO_FENCE_IN_ORDER
    :: checks_fencing && order_fence[s] < largest_fence
#endif
    :: else ->
        assert(order_serial[s] > effective);    /* no old order after a newer one */
        effective = order_serial[s];
        largest_fence = order_fence[s]
    fi;
    forget_order(s)
}

active proctype engine() {
end:
    do
    :: atomic { used[0] -> take(0) }
    :: atomic { used[0] -> forget_order(0) }       /* it is lost */
    :: atomic { used[1] -> take(1) }
    :: atomic { used[1] -> forget_order(1) }       /* it is lost */
    od
}

inline put(s) {
    used[s] = true; order_fence[s] = fence; order_serial[s] = SERIAL(acquisition, number); slot = s
}

proctype node(byte me) {
    byte tries, fence, acquisition, number, slot, seen;

acquire:
    /* A lease lapses at any time: nothing here rests on its being held. */
    atomic {
        if
        :: tries == ACQUISITIONS -> goto done
        :: tries < ACQUISITIONS -> tries++; seen = row_fence
        fi;
        fence = 0; acquisition = 0; number = 0
    };
    atomic {
        if
#ifdef NO_CONDITION_ON_LEASE
        :: true ->
#else
        :: row_fence == seen ->
#endif
            row_holder = me; row_fence = seen + 1; fence = row_fence;
            acquisitions++; acquisition = acquisitions
        :: else -> goto acquire                 /* conflict */
        fi;
        if
        :: true                                 /* the reply comes */
        :: true -> acquisition = 0              /* it is lost: read the row */
        fi
    };
    atomic {
        if
        :: acquisition != 0
        :: acquisition == 0 && row_holder == me && row_fence == fence -> acquisition = acquisitions
        :: else -> goto acquire
        fi;
        since_acquired[me] = 0; seen = 0
    };

next_order:
    atomic {
        if
        :: number == ORDERS -> goto acquire
        :: number < ORDERS -> since_asked[me] = 0
        :: true -> goto acquire                 /* gives up, or renews: a new fence */
        fi
    };
    /* Reads the lease. */
    atomic {
        if
#ifndef NO_READ_BEFORE_ORDER
        :: row_holder != me || row_fence != fence -> goto acquire
#endif
        :: else
        fi
    };
    /* Sends, if it is in time by its own clock; both are one step of the model. */
    atomic {
        if
#ifndef NO_LIMIT_AT_SENDING
        :: since_asked[me] > ORDER_LIMIT -> goto next_order
#endif
#ifndef NO_WAIT_OF_NEW_HOLDER
        :: !checks_fencing && since_acquired[me] <= TAKEOVER_WAIT -> goto next_order
#endif
        :: else
        fi;
        number++;
        if
        :: !used[0] -> put(0)
        :: used[0] && !used[1] -> put(1)
        :: else -> goto done
        fi
    };
    /* An answer says that the order isn't under way any more; without one a new fence is taken. */
    atomic {
        if
#ifdef NO_NEW_FENCE_WITHOUT_ANSWER
        :: true -> slot = 0; goto next_order
#else
        :: !used[slot] -> slot = 0; goto next_order
        :: used[slot] -> slot = 0; goto acquire
#endif
        fi
    };

done:
    skip
}

init {
    atomic {
        if
        :: checks_fencing = true
        :: checks_fencing = false
        fi;
        run node(0); run node(1)
    }
}
