package org.cicadaarch.orders

import kotlin.test.assertTrue
import org.cicadaarch.model.fleet.WantedState

/** A model engine that loads for a while. The oracle is in it: orders must never go back to an older holder. */
internal class FakeEngine(private val time: VirtualTime, val name: String, val checksFencing: Boolean) {
    private var newestFencing = 0L
    private var loadNumber = 0
    var serving: WantedState? = null
        private set
    var loading: WantedState? = null
        private set

    fun order(state: WantedState, fencing: Long, isCheckBroken: Boolean): OrderResult {
        if (checksFencing && !isCheckBroken && fencing < newestFencing) return OrderResult.OLD_FENCING_NUMBER
        assertTrue(fencing >= newestFencing, "$name applied an order of $fencing after one of $newestFencing")
        newestFencing = fencing
        if (state == (loading ?: serving)) return OrderResult.ACCEPTED
        loading = state
        val number = ++loadNumber
        time.after(LOAD_MILLISECONDS) {
            if (number == loadNumber) {
                serving = state
                loading = null
            }
        }
        return OrderResult.ACCEPTED
    }

    fun restart() {
        loadNumber += 1
        serving = null
        loading = null
    }

    private companion object {
        const val LOAD_MILLISECONDS = 1_200L
    }
}
