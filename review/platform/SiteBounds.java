/**
 * The bounds of a site, as its page states them.
 *
 * @param contactMillis contact_ms
 * @param drainMillis drain_ms
 * @param configApplyMillis config_apply_ms
 * @param graceSeconds grace_s
 * @param budgetSlack budget_slack
 */
record SiteBounds(int contactMillis, int drainMillis, int configApplyMillis, int graceSeconds, int budgetSlack) {
    static final SiteBounds NORRVIK_SPAR = new SiteBounds(3000, 2000, 2000, 8, 108);
    static final SiteBounds ZTZS_TISK_GROWN = new SiteBounds(4000, 3000, 3000, 8, 100);
}
