package org.vanilladale.schema

internal fun isIdText(text: String, maximumLength: Int): Boolean =
    text.isNotBlank() && text.length <= maximumLength && text.none { it.isISOControl() }

internal fun requireIdText(type: String, text: String, maximumLength: Int) {
    require(isIdText(text, maximumLength)) {
        "$type must have 1 to $maximumLength characters and no control characters; " +
            "shorten or correct '${text.take(MAXIMUM_QUOTED_LENGTH)}'"
    }
}

private const val MAXIMUM_QUOTED_LENGTH = 40
