package org.hornbeamward.dispatch.account;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hornbeamward.event.LogEvent;

/** The client accounts of a configuration, by name and by key. Immutable. */
public final class AccountDirectory {
    /** For a configuration without client accounts: callers need no key. */
    public static final AccountDirectory NONE = new AccountDirectory(false, Map.of(), Map.of());

    private final boolean mConfigured;
    private final Map<String, ClientAccount> mByName;
    private final Map<KeyDigest, ClientAccount> mByKey;

    private AccountDirectory(
            boolean configured,
            Map<String, ClientAccount> byName,
            Map<KeyDigest, ClientAccount> byKey) {
        mConfigured = configured;
        mByName = byName;
        mByKey = byKey;
    }

    /**
     * Creates the directory of a configuration with client accounts. A key that two accounts hold
     * identifies neither of them and is left out, and so is the second of two accounts of one name.
     *
     * @param accounts the accounts, which may be none
     * @return the directory
     */
    public static AccountDirectory of(Collection<ClientAccount> accounts) {
        Map<String, ClientAccount> byName = new LinkedHashMap<>();
        Map<KeyDigest, ClientAccount> byKey = new HashMap<>();
        Set<KeyDigest> ambiguous = new HashSet<>();
        for (ClientAccount account : accounts) {
            if (byName.putIfAbsent(account.name(), account) != null) {
                LogEvent.ACCOUNT_SKIPPED.log(account.name(), "an earlier one has the same name");
                continue;
            }
            for (KeyDigest key : account.keys()) {
                ClientAccount other = byKey.putIfAbsent(key, account);
                if (other != null) {
                    ambiguous.add(key);
                    LogEvent.ACCOUNT_SKIPPED.log(
                            account.name() + " for one key", other.name() + " holds it as well");
                }
            }
        }
        ambiguous.forEach(byKey::remove);
        return new AccountDirectory(true, byName, byKey);
    }

    /**
     * Returns whether the configuration has client accounts, so that callers need a key.
     *
     * @return true also if it lists no account
     */
    public boolean isConfigured() {
        return mConfigured;
    }

    /**
     * Finds the account that holds a key.
     *
     * @param key digest of the key
     * @return the account, if there is exactly one
     */
    public Optional<ClientAccount> byKey(KeyDigest key) {
        return Optional.ofNullable(mByKey.get(key));
    }

    /**
     * Finds an account.
     *
     * @param name its name
     * @return the account, if the configuration has it
     */
    public Optional<ClientAccount> byName(String name) {
        return Optional.ofNullable(mByName.get(name));
    }

    /**
     * Returns all accounts.
     *
     * @return the accounts, in the order of the configuration
     */
    public Collection<ClientAccount> accounts() {
        return mByName.values();
    }
}
