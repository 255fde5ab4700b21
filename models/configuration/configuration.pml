/* Acceptance and spread of the configuration; README.md says what is modelled, and each NO_ switch
 * takes one guard away. Names are those of src/libcaraway/config. */

#define ROUTERS 2
#define OPERATORS 3
#define CHANGES 2
#define COMMANDS 6          /* commands that operators give in all */
#define FAULTS 1            /* lost replies and crashes in all */

#define FIRST_DOCUMENT 1    /* hash of the document of version 1, accepted at the start */
#define DOCUMENT(c) (2 + (c))
#define HALF_WRITTEN 9      /* hash of an object that was written only in part */
#define PROPOSER(c) (c)     /* operator 0 proposes change 0, operator 1 change 1 */
#define CONSENT(c, o) ((c) * OPERATORS + (o))

mtype = { propose, approve, reject };
mtype = { open, accepted, rejected };

/* The platform's table. */
typedef change_record { bool exists; byte base; byte approvals; byte given; mtype state; byte rev };
change_record change[CHANGES];
byte head_version = 1;
byte head_hash = FIRST_DOCUMENT;
byte head_rev = 1;
byte log_hash[4];

byte commands = COMMANDS;
byte faults = FAULTS;
byte running = ROUTERS;

/* What operators have consented to, by the base that they looked at, and what they were told. Only the
 * assertions read these. */
byte consent[CHANGES * OPERATORS];
bool told_rejected[CHANGES];

/* What router 0 has in force; 0 is none. */
byte in_force_version;
byte in_force_hash;
byte fetch_failed;

/* How many others must approve, by the document that says so. Change 0 lowers the rule. */
inline required_by(hash, result)
{
    if
    :: hash == DOCUMENT(0) -> result = 1
    :: else -> result = 2
    fi
}

inline count_approvers(c, result)
{
    result = 0;
#ifdef NO_ONCE_CHECK
    result = row.given;
#else
    op = 0;
    do
    :: op < OPERATORS ->
        if
#ifdef NO_SELF_CHECK
        :: (row.approvals >> op) & 1 -> result++
#else
        :: ((row.approvals >> op) & 1) && op != PROPOSER(c) -> result++
#endif
        :: else
        fi;
        op++
    :: else -> break
    od
#endif
}

/* What must hold of every acceptance, by what people really consented to. */
inline assert_rules(c)
{
    required_by(head_hash, need);
    have = 0;
    op = 0;
    do
    :: op < OPERATORS ->
        if
        :: op != PROPOSER(c) && consent[CONSENT(c, op)] == head_version -> have++
        :: else
        fi;
        op++
    :: else -> break
    od;
    assert(have >= need)
}

inline transact(c)
{
    if
#ifndef NO_HEAD_CONDITION
    :: head_rev != read_rev -> written = false
#endif
#ifndef NO_CHANGE_CONDITION
    :: change[c].rev != row.rev -> written = false
#endif
    :: else ->
        written = true;
        assert(change[c].state == open && !told_rejected[c]);
        assert(row.base + 1 > head_version);        /* versions only go up */
        assert(row.base == head_version);           /* nothing accepted is overwritten unseen */
        assert(log_hash[row.base + 1] == 0);        /* one hash a version */
        assert_rules(c);
        head_version = row.base + 1;
        head_hash = DOCUMENT(c);
        head_rev++;
        log_hash[head_version] = head_hash;
        change[c].state = accepted;
        change[c].rev++
    fi
}

inline put_row(c)
{
    if
#ifndef NO_ROW_CONDITION
    :: change[c].rev != row.rev -> written = false
#endif
    :: else ->
        written = true;
        row.rev = change[c].rev + 1;
        change[c].exists = row.exists;
        change[c].base = row.base;
        change[c].approvals = row.approvals;
        change[c].given = row.given;
        change[c].state = row.state;
        change[c].rev = row.rev
    fi
}

inline read_head()
{
    atomic { read_version = head_version; read_hash = head_hash; read_rev = head_rev }
}

inline read_change(c)
{
    row.exists = change[c].exists;
    row.base = change[c].base;
    row.approvals = change[c].approvals;
    row.given = change[c].given;
    row.state = change[c].state;
    row.rev = change[c].rev
}

/* A command ends with what its operator is told. "Stale" and "nothing was written" are promises that
 * this change isn't accepted. */
inline tell_not_accepted(c)
{
    assert(log_hash[2] != DOCUMENT(c) && log_hash[3] != DOCUMENT(c))
}

proctype acceptance(byte self)
{
    mtype asked;
    byte c, who, asked_base;
    byte read_version, read_hash, read_rev;
    change_record row;
    byte op, need, have;
    bool written, must_write;

next_command:
    atomic {
        asked = propose; c = 0; who = 0; asked_base = 0; read_version = 0; read_hash = 0; read_rev = 0;
        row.exists = false; row.base = 0; row.approvals = 0; row.given = 0; row.state = open; row.rev = 0;
        op = 0; need = 0; have = 0; written = false; must_write = false;
        if
        :: commands > 0 ->
            commands--;
            if
            :: c = 0
            :: c = 1
            fi;
            asked_base = head_version;
            if
            :: asked = propose; who = PROPOSER(c)
            :: change[c].exists -> asked = reject
            :: change[c].exists -> asked = approve; who = 0; asked_base = change[c].base
            :: change[c].exists -> asked = approve; who = 1; asked_base = change[c].base
            :: change[c].exists -> asked = approve; who = 2; asked_base = change[c].base
            fi;
            if
            :: asked == approve -> consent[CONSENT(c, who)] = asked_base
            :: else
            fi
        :: commands == 0 -> goto finished
        fi
    }

begin:
#ifdef NO_HEAD_FIRST
    atomic { read_change(c) };
    atomic { read_head();
#else
    read_head();
    atomic { read_change(c);
#endif
        /* decide */
        must_write = false;
        if
        :: row.exists && row.state == accepted -> goto next_command
        :: row.exists && row.state == rejected -> goto next_command
        :: !row.exists && asked != propose -> goto next_command
        :: else
        fi;
        if
        :: asked == propose && !row.exists ->
            row.exists = true;
            row.base = asked_base;
            row.state = open;
            must_write = true
        :: asked == propose && row.exists && row.base != asked_base ->
#ifdef NO_REPEAT_CHECK
            row.base = asked_base;
            must_write = true
#else
            goto next_command
#endif
        :: asked == approve && row.base != asked_base -> goto next_command
#ifndef NO_SELF_CHECK
        :: asked == approve && who == PROPOSER(c) -> goto next_command
#endif
        :: else
        fi;
#ifndef NO_BASE_CHECK
        if
        :: asked != reject && row.base != read_version ->
            tell_not_accepted(c);
            goto next_command
        :: else
        fi;
#endif
        if
        :: asked == reject -> row.state = rejected; must_write = true
#ifdef NO_ONCE_CHECK
        :: asked == approve -> row.given++; must_write = true
#else
        :: asked == approve && !((row.approvals >> who) & 1) ->
            row.approvals = row.approvals | (1 << who);
            must_write = true
#endif
        :: else
        fi
    }

    if
    :: must_write ->
        if
        :: atomic { put_row(c);
               if
               :: !written -> goto begin
               :: else
               fi
           }
        :: atomic { faults > 0 -> faults--; put_row(c); goto begin }        /* reply lost */
        :: atomic { faults > 0 -> faults--; goto begin }                    /* no effect either */
        :: atomic { faults > 0 -> faults--; goto crash }
        fi
    :: else
    fi;
    atomic {
        if
        :: asked == reject -> told_rejected[c] = true; goto next_command
        :: else
        fi;
#ifdef NO_ACCEPTED_RULES
        required_by(DOCUMENT(c), need);
#else
        required_by(read_hash, need);
#endif
        count_approvers(c, have);
        if
        :: have < need -> goto next_command
        :: else
        fi
    }

    if
    :: atomic { transact(c);
           if
           :: !written -> goto begin
           :: else -> goto next_command
           fi
       }
    :: atomic { faults > 0 -> faults--; transact(c);
#ifdef NO_LOST_READ
           tell_not_accepted(c);
           goto next_command
#else
           goto begin
#endif
       }
    :: atomic { faults > 0 -> faults--; goto begin }
    :: atomic { faults > 0 -> faults--; goto crash }
    fi;

crash:
    /* The process starts anew, without memory; whoever asked may ask again. */
    atomic {
        if
        :: self == 0 -> in_force_version = 0; in_force_hash = 0; fetch_failed = 0
        :: else
        fi;
        goto next_command
    }

finished:
    atomic { running-- }
}

#ifdef NO_VERSION_CHECK
#define IS_NEWS(version) ((version) != in_force_version)
#else
#define IS_NEWS(version) ((version) > in_force_version)
#endif
#ifdef NO_RETRY
#define MAY_FETCH(version) (fetch_failed != (version))
#else
#define MAY_FETCH(version) true
#endif

inline put_in_force(version, hash)
{
    assert(version > in_force_version);
    assert(hash == log_hash[version]);
    in_force_version = version;
    in_force_hash = hash
}

/* Router 0's. It may hear of any accepted version at any time: from the platform, from a peer that has it
 * in force, from a peer that was cut off and rejoins with an old one, or by a message that was under way
 * for long. A partition is that it hears of nothing. */
proctype version_tracker()
{
    byte version;

    do
    :: atomic {
           version = 1;
           do
           :: version < head_version -> version++
           :: break
           od;
           if
           :: IS_NEWS(version) && MAY_FETCH(version) ->
               if
               :: put_in_force(version, log_hash[version])
               :: faults > 0 ->
                   faults--;
#ifdef NO_HASH_CHECK
                   put_in_force(version, HALF_WRITTEN)
#else
                   fetch_failed = version
#endif
               fi
           :: else
           fi;
           version = 0
       }
    :: atomic {
           /* serves callers */
#ifndef NO_READY_CHECK
           in_force_version > 0 ->
#endif
           assert(in_force_version > 0 && in_force_hash == log_hash[in_force_version])
       }
    :: atomic { running == 0 -> break }
    od;
    /* When all has come to rest, the platform is heard once more and the newest is in force. */
    atomic {
        if
        :: IS_NEWS(head_version) && MAY_FETCH(head_version) -> put_in_force(head_version, head_hash)
        :: else
        fi;
        assert(in_force_version == head_version)
    }
}

init
{
    atomic {
        byte i = 0;
        log_hash[1] = FIRST_DOCUMENT;
        do
        :: i < CHANGES -> change[i].state = open; i++
        :: else -> break
        od;
        i = 0;
        do
        :: i < ROUTERS -> run acceptance(i); i++
        :: else -> break
        od;
        run version_tracker();
        i = 0
    }
}
